/* owner_hosts.c - known hosts, connections to them and worker pools.

   The data is advisory: an outdated entry adds latency but does not affect
   correctness.
   Needs: owner_parts.h, id.h.  */

#include "owner_parts.h"
#include "../id.h"
#include "../memory.h"
#include <stdlib.h>
#include <string.h>

/* ---- Pools ---- */

struct pool *
hosts_get_pool (struct mq_owner *owner, const char *service)
{
  struct pool *pool;

  for (pool = owner->pools; pool != NULL; pool = pool->next)
    if (strcmp (pool->service, service) == 0)
      return pool;
  pool = talloc_zero (owner, struct pool);
  if (pool == NULL)
    abort ();
  pool->service = mq_text_copy (pool, service);
  pool->next = owner->pools;
  owner->pools = pool;
  return pool;
}

static void
pool_add (struct mq_owner *owner, struct pool *pool, struct worker *worker)
{
  struct mq_worker_view *view;
  unsigned int count = (unsigned int)pool->count + 1;

  pool->views
      = talloc_realloc (pool, pool->views, struct mq_worker_view, count);
  pool->workers = talloc_realloc (pool, pool->workers, struct worker *, count);
  if (pool->views == NULL || pool->workers == NULL)
    abort ();
  worker->pool = pool;
  worker->view = pool->count;
  pool->workers[pool->count] = worker;
  view = &pool->views[pool->count++];
  memset (view, 0, sizeof *view);
  view->worker = worker->index;
  view->name_hash = mq_rendezvous_weight (worker->target->host, worker->index);
  view->same_data_centre
      = strcmp (worker->target->data_centre, owner->options.data_centre) == 0;
}

static void
pool_remove (struct worker *worker)
{
  struct pool *pool = worker->pool;
  size_t last = --pool->count;

  pool->views[worker->view] = pool->views[last];
  pool->workers[worker->view] = pool->workers[last];
  pool->workers[worker->view]->view = worker->view;
}

struct mq_worker_view *
hosts_worker_view (struct mq_owner *owner, struct target *target,
                   uint32_t worker)
{
  (void)owner;
  if (worker >= target->worker_count)
    return NULL;
  return &target->workers[worker]->pool->views[target->workers[worker]->view];
}

/* ---- Targets row ---- */

/* Keeps a target's former run in the targets row.  If only the new run were
   listed, a new owner of the partition would hear from it, assume that it
   knows every attempt, and let the program spend the same budget again.  A
   former run cannot reply, so the grants count as spent.  */
static void
add_former_run (struct mq_owner *owner, struct target *target)
{
  struct former_run *former;

  if (target->sent_boot == 0)
    return; /* no calls are sent to a run that is not in the row */
  former = talloc_zero (owner, struct former_run);
  if (former == NULL)
    abort ();
  former->host = mq_text_copy (former, target->host);
  former->boot = target->sent_boot;
  target->sent_boot = 0;
  former->next = owner->former_runs;
  owner->former_runs = former;
  owner->former_runs_position = owner->appended_position;
  owner->targets_dirty = true;
}

/* Whether a takeover of a partition that is not active here would read this
   run's targets row.  */
static bool
is_row_needed (const struct mq_owner *owner)
{
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      const struct partition *partition = &owner->partitions[i];

      for (size_t s = 0; s < partition->sender_count; s++)
        if (partition->state != PARTITION_ACTIVE
            && strcmp (partition->senders[s], owner->run) == 0)
          return true;
    }
  return false;
}

/* Removes former runs from the targets row once all records about their
   attempts are durable and every partition that was released or lost has an
   owner that has accounted for this run.  */
void
hosts_expire_former_runs (struct mq_owner *owner)
{
  if (owner->former_runs == NULL)
    return;
  if (is_row_needed (owner))
    {
      owner->former_runs_needed = true;
      return;
    }
  if (owner->former_runs_needed)
    {
      /* Reclaiming a partition may have appended charges for these runs.  */
      owner->former_runs_needed = false;
      owner->former_runs_position = owner->appended_position;
    }
  if (owner->settled_position < owner->former_runs_position)
    return;
  while (owner->former_runs != NULL)
    {
      struct former_run *former = owner->former_runs;

      owner->former_runs = former->next;
      talloc_free (former);
    }
  owner->targets_dirty = true;
}

void
hosts_on_target_usable (struct mq_owner *owner, struct target *target)
{
  for (uint32_t i = 0; i < target->worker_count; i++)
    {
      struct mq_worker_view *view = hosts_worker_view (owner, target, i);

      view->peer = target->peer;
      view->avoid = target->peer == 0 || target->leaving
                    || target->durable_boot != target->boot;
    }
}

/* ---- Targets and siblings ---- */

static struct mq_id
name_key (const char *host)
{
  struct mq_id key = { 0, 0 };

  key.hi = mq_hash_bytes (host, strlen (host), 0);
  key.lo = mq_hash_bytes (host, strlen (host), 1);
  return key;
}

static struct mq_id
peer_key (uint32_t peer)
{
  struct mq_id key = { peer, 0 };

  return key;
}

struct target *
hosts_get_target (struct mq_owner *owner, const char *host)
{
  return mq_idmap_find (owner->targets_by_name, name_key (host), 0);
}

struct target *
hosts_find_target (struct mq_owner *owner, uint32_t peer)
{
  return mq_idmap_find (owner->targets_by_peer, peer_key (peer), 0);
}

static struct target *
add_target (struct mq_owner *owner, const char *host, const char *data_centre)
{
  struct target *target = talloc_zero (owner, struct target);

  if (target == NULL)
    abort ();
  target->host = mq_text_copy (target, host);
  target->data_centre = mq_text_copy (target, data_centre);
  target->unlisted_us = owner->now_us;
  target->next = owner->targets;
  owner->targets = target;
  mq_idmap_put (owner->targets_by_name, name_key (host), 0, target);
  return target;
}

struct sibling *
hosts_get_sibling (struct mq_owner *owner, const char *host, bool create)
{
  struct sibling *sibling;

  for (sibling = owner->siblings; sibling != NULL; sibling = sibling->next)
    if (strcmp (sibling->host, host) == 0)
      return sibling;
  if (!create)
    return NULL;
  sibling = talloc_zero (owner, struct sibling);
  if (sibling == NULL)
    abort ();
  sibling->host = mq_text_copy (sibling, host);
  sibling->address = mq_text_copy (sibling, "");
  sibling->data_centre = mq_text_copy (sibling, "");
  sibling->counter_us = owner->now_us;
  sibling->next = owner->siblings;
  owner->siblings = sibling;
  return sibling;
}

static void
apply_listed_target (struct mq_owner *owner, const struct mq_host *host)
{
  struct target *target = hosts_get_target (owner, host->name);

  if (target == NULL)
    target = add_target (owner, host->name, host->data_centre);
  target->listed = true;
  /* A target that announced that it is leaving stays so until it restarts.  */
  if (host->leaving)
    target->leaving = true;
  hosts_on_target_usable (owner, target);
}

static void
apply_listed_sibling (struct mq_owner *owner, const struct mq_host *host)
{
  struct sibling *sibling;

  if (strcmp (host->name, owner->options.host) == 0)
    return;
  sibling = hosts_get_sibling (owner, host->name, true);
  sibling->listed = true;
}

void
hosts_listed (struct mq_owner *owner, const struct mq_host_list *hosts)
{
  for (struct target *t = owner->targets; t != NULL; t = t->next)
    {
      if (t->listed)
        t->unlisted_us = owner->now_us;
      t->listed = false;
    }
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->listed = false;
  for (size_t i = 0; i < hosts->count; i++)
    switch (hosts->items[i].role)
      {
      case MQ_HOST_TARGET:
        apply_listed_target (owner, &hosts->items[i]);
        break;
      case MQ_HOST_ENTRY:
        apply_listed_sibling (owner, &hosts->items[i]);
        break;
      }
}

static void
drop_references (struct mq_owner *owner, const struct target *target)
{
  struct running *running;
  size_t position = 0;

  while ((running = mq_idmap_next (owner->running, &position)) != NULL)
    {
      struct cache_location **at = &running->caches;

      if (running->sticky == target)
        running->sticky = NULL;
      while (*at != NULL)
        if ((*at)->target == target)
          *at = (*at)->next;
        else
          at = &(*at)->next;
    }
}

/* Makes the run of a dead target host a former run.  Tokens of its attempts
   were charged when they were abandoned.  Otherwise the next owner would wait
   for the dead process and count all grants as spent, ending programs with
   budget_tokens.  The target is not used again until a row that lists it is
   durable.  */
static void
retire_dead_run (struct mq_owner *owner, struct target *target)
{
  if (target->settled || target->peer != 0 || target->boot == 0
      || target->calls > 0
      || owner->now_us - target->down_us < 1000ULL * MQ_RECOVER_MS)
    return;
  target->settled = true;
  target->durable_boot = 0;
  add_former_run (owner, target);
}

/* Removes targets that left the host list more than MQ_TARGET_KEEP_MS ago and
   have no calls of this owner.  */
void
hosts_tick (struct mq_owner *owner)
{
  struct target **at = &owner->targets;

  for (struct target *t = owner->targets; t != NULL; t = t->next)
    retire_dead_run (owner, t);
  while (*at != NULL)
    {
      struct target *target = *at;

      if (target->listed || target->peer != 0 || target->calls > 0
          || owner->now_us - target->unlisted_us < 1000ULL * MQ_TARGET_KEEP_MS)
        {
          at = &target->next;
          continue;
        }
      *at = target->next;
      for (size_t i = 0; i < target->worker_count; i++)
        pool_remove (target->workers[i]);
      drop_references (owner, target);
      mq_idmap_remove (owner->targets_by_name, name_key (target->host), 0);
      add_former_run (owner, target);
      talloc_free (target);
    }
}

/* ---- Connections ---- */

static void
target_up (struct mq_owner *owner, uint32_t peer, const char *host,
           uint64_t boot)
{
  struct target *target = hosts_get_target (owner, host);

  if (target == NULL)
    target = add_target (owner, host, "");
  if (target->boot != boot)
    target->leaving = false;
  if (target->peer != 0)
    mq_idmap_remove (owner->targets_by_peer, peer_key (target->peer), 0);
  mq_idmap_put (owner->targets_by_peer, peer_key (peer), 0, target);
  target->boot = boot;
  target->peer = peer;
  target->down_us = 0;
  target->settled = false;
  hosts_on_target_usable (owner, target);
  read_on_target_up (owner, target);
  settle_on_target_up (owner, target);
  if (target->sent_boot != boot)
    add_former_run (owner, target);
  if (target->durable_boot != boot)
    owner->targets_dirty = true;
}

void
hosts_on_peer_up (struct mq_owner *owner, uint32_t peer, const char *host,
                  enum mq_host_role role, uint64_t boot)
{
  struct sibling *sibling;

  owner_state (owner, MQ_STATE_PEER_UP, peer, host);
  switch (role)
    {
    case MQ_HOST_TARGET:
      target_up (owner, peer, host, boot);
      break;
    case MQ_HOST_ENTRY:
      sibling = hosts_get_sibling (owner, host, true);
      sibling->peer = peer;
      sibling->peer_down_us = 0;
      break;
    }
}

void
hosts_on_peer_down (struct mq_owner *owner, uint32_t peer)
{
  struct target *target = hosts_find_target (owner, peer);

  events_on_peer_gone (owner, peer);
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    if (s->peer == peer)
      {
        owner_state (owner, MQ_STATE_PEER_DOWN, peer, s->host);
        s->peer = 0;
        s->peer_down_us = owner->now_us;
      }
  if (target == NULL)
    return;
  owner_state (owner, MQ_STATE_PEER_DOWN, peer, target->host);
  mq_idmap_remove (owner->targets_by_peer, peer_key (peer), 0);
  target->peer = 0;
  target->down_us = owner->now_us;
  hosts_on_target_usable (owner, target);
  settle_on_target_down (owner, target);
}

void
hosts_send (struct mq_owner *owner, struct target *target,
            const struct mq_message *message)
{
  if (target->peer != 0)
    mq_actions_send (owner->actions, target->peer, message);
}

/* ---- Load ---- */

static bool
has_same_workers (const struct target *target, const struct mq_load_msg *load)
{
  if (target->worker_count != load->worker_count)
    return false;
  for (size_t i = 0; i < load->worker_count; i++)
    if (strcmp (target->workers[i]->pool->service, load->workers[i].service)
        != 0)
      return false;
  return true;
}

static void
rebuild_workers (struct mq_owner *owner, struct target *target,
                 const struct mq_load_msg *load)
{
  for (size_t i = 0; i < target->worker_count; i++)
    pool_remove (target->workers[i]);
  talloc_free (target->workers);
  target->worker_count = load->worker_count;
  target->workers = talloc_zero_array (target, struct worker *,
                                       (unsigned int)load->worker_count);
  for (size_t i = 0; i < load->worker_count; i++)
    {
      struct worker *worker = talloc_zero (target->workers, struct worker);

      if (worker == NULL)
        abort ();
      worker->target = target;
      worker->index = (uint32_t)i;
      target->workers[i] = worker;
      pool_add (owner, hosts_get_pool (owner, load->workers[i].service),
                worker);
    }
}

void
hosts_on_load (struct mq_owner *owner, struct target *target,
               const struct mq_load_msg *load)
{
  if (!has_same_workers (target, load))
    rebuild_workers (owner, target, load);
  target->leaving = load->leaving;
  for (uint32_t i = 0; i < load->worker_count; i++)
    {
      const struct mq_worker_load *from = &load->workers[i];
      struct mq_worker_view *view = hosts_worker_view (owner, target, i);

      view->slots = from->slots;
      view->reported_busy = from->running + from->queued;
      view->reported_us = owner->now_us;
      view->cache_free = from->cache_total > from->cache_used
                             ? from->cache_total - from->cache_used
                             : 0;
      view->prefill_rate = from->prefill_rate;
      view->decode_us = from->decode_us;
    }
  hosts_on_target_usable (owner, target);
}
