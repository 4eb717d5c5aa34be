/* gate_cache.c - cache accounting and eviction of programs' caches.

   The cache of a program at a worker is recorded when one of its calls starts
   there or a cache report lists it.  The record is removed when an eviction is
   confirmed, the engine restarts with an empty cache, or two successive
   reports do not list it.

   Counters:

   - cache_token_ms: tokens held by programs, integrated over time
   - cache_wasted_token_ms: the part held after the last use of a cache that
     was not used again, until it was evicted or dropped by the engine
   - cache_ended_tokens: tokens currently held for programs that have ended or
     whose lease has expired

   Needs: gate_state.h, id.h.  */

#include "gate_state.h"
#include "../id.h"

#define NEVER UINT64_MAX

static struct gate_cached_program *
find_holding (const struct gate_program *program, uint32_t worker)
{
  struct gate_node *node = program->cached_programs.first;

  while (node != NULL)
    {
      struct gate_cached_program *cached_program
          = GATE_ENTRY (node, struct gate_cached_program, by_program);

      if (cached_program->worker == worker)
        return cached_program;
      node = node->next;
    }
  return NULL;
}

bool
mq_gate_has_cache (const struct gate_worker *worker)
{
  return worker->kind == MQ_SERVICE_MODEL;
}

uint32_t
mq_gate_count_cached_tokens (struct mq_gate *gate,
                             const struct gate_program *program,
                             uint32_t worker)
{
  const struct gate_cached_program *cached_program
      = find_holding (program, worker);

  (void)gate;
  return cached_program == NULL || cached_program->evicting
             ? 0
             : cached_program->tokens;
}

/* Accounting.  */

static uint64_t
integrate (uint64_t tokens, uint64_t elapsed_us, uint64_t *remainder)
{
  uint64_t token_us = tokens * elapsed_us + *remainder;

  *remainder = token_us % MQ_US_PER_MS;
  return token_us / MQ_US_PER_MS;
}

/* Adds ELAPSED_US of holding the current totals to the counters.  */
void
mq_gate_cache_accumulate (struct mq_gate *gate, uint64_t elapsed_us)
{
  gate->counters.cache_token_ms
      += integrate (gate->held_tokens, elapsed_us, &gate->held_remainder);
  gate->counters.cache_wasted_token_ms
      += integrate (gate->ended_tokens, elapsed_us, &gate->ended_remainder);
}

/* Adds the idle time up to now to the unused time of CACHED_PROGRAM.  */
static void
update_idle (struct mq_gate *gate, struct gate_cached_program *cached_program)
{
  uint64_t idle_us = gate->now_us - cached_program->idle_since_us;

  if (cached_program->runs == 0)
    cached_program->unused_token_ms
        += cached_program->tokens * idle_us / MQ_US_PER_MS;
  cached_program->idle_since_us = gate->now_us;
}

static void
count_wasted (struct mq_gate *gate, struct gate_cached_program *cached_program)
{
  update_idle (gate, cached_program);
  if (!cached_program->evicting)
    gate->counters.cache_wasted_token_ms += cached_program->unused_token_ms;
  cached_program->unused_token_ms = 0;
}

static void
set_tokens (struct mq_gate *gate, struct gate_cached_program *cached_program,
            uint32_t tokens)
{
  struct gate_worker *worker = &gate->workers[cached_program->worker];

  update_idle (gate, cached_program);
  worker->held_tokens += tokens;
  worker->held_tokens -= cached_program->tokens;
  gate->held_tokens += tokens;
  gate->held_tokens -= cached_program->tokens;
  if (cached_program->evicting)
    {
      gate->ended_tokens += tokens;
      gate->ended_tokens -= cached_program->tokens;
    }
  gate->counters.cache_ended_tokens = gate->ended_tokens;
  if (cached_program->tokens != tokens)
    gate->load_dirty = true;
  cached_program->tokens = tokens;
}

static bool
retry_before (const void *left, const void *right)
{
  const struct gate_cached_program *a = left;
  const struct gate_cached_program *b = right;

  return a->retry_us < b->retry_us;
}

static bool
lease_before (const void *left, const void *right)
{
  const struct gate_program *a = left;
  const struct gate_program *b = right;

  return a->lease_until_us < b->lease_until_us;
}

void
mq_gate_cache_create (struct mq_gate *gate)
{
  mq_gate_heap_create (&gate->leases, gate, lease_before,
                       offsetof (struct gate_program, lease_position));
  mq_gate_heap_create (&gate->retries, gate, retry_before,
                       offsetof (struct gate_cached_program, retry_position));
}

struct gate_cached_program *
mq_gate_get_cached_program (struct mq_gate *gate, struct gate_program *program,
                            struct gate_worker *worker)
{
  struct gate_cached_program *cached_program
      = find_holding (program, worker->index);

  if (cached_program != NULL)
    return cached_program;
  cached_program = mq_gate_alloc (gate, sizeof *cached_program,
                                  "struct gate_cached_program");
  cached_program->program = program;
  cached_program->worker = worker->index;
  cached_program->idle_since_us = gate->now_us;
  cached_program->last_used_us = gate->now_us;
  mq_gate_list_add (&program->cached_programs, &cached_program->by_program);
  mq_gate_list_add (&worker->cached_programs, &cached_program->by_worker);
  return cached_program;
}

static void
free_holding (struct mq_gate *gate, struct gate_cached_program *cached_program)
{
  count_wasted (gate, cached_program);
  set_tokens (gate, cached_program, 0);
  mq_gate_heap_remove (&gate->retries, cached_program);
  mq_gate_list_remove (&cached_program->program->cached_programs,
                       &cached_program->by_program);
  mq_gate_list_remove (&gate->workers[cached_program->worker].cached_programs,
                       &cached_program->by_worker);
  talloc_free (cached_program);
}

/* Eviction.  */

static void
set_retry (struct mq_gate *gate, struct gate_cached_program *cached_program,
           uint64_t at_us)
{
  cached_program->retry_us = at_us;
  mq_gate_heap_remove (&gate->retries, cached_program);
  if (at_us != NEVER)
    mq_gate_heap_add (&gate->retries, cached_program);
}

/* Sends EVICT.  It is sent again after the maximum backoff if the answer is
   lost.  */
static void
request_eviction (struct mq_gate *gate,
                  struct gate_cached_program *cached_program)
{
  struct mq_action *action = mq_actions_add (gate->actions, MQ_ACT_EVICT);

  action->u.evict.worker = cached_program->worker;
  action->u.evict.program = cached_program->program->id;
  cached_program->evict_pending = true;
  cached_program->evict_sent_us = gate->now_us;
  set_retry (gate, cached_program,
             gate->now_us + MQ_GATE_EVICT_RETRY_MAX_MS * MQ_US_PER_MS);
}

/* Evicting during a run would be useless, as the run refills the cache.  EVICT
   is sent at the end of the last run.  */
static void
begin_eviction (struct mq_gate *gate,
                struct gate_cached_program *cached_program)
{
  if (cached_program->evicting)
    return;
  count_wasted (gate, cached_program);
  cached_program->evicting = true;
  cached_program->backoff_ms = MQ_GATE_EVICT_RETRY_MS;
  gate->ended_tokens += cached_program->tokens;
  gate->counters.cache_ended_tokens = gate->ended_tokens;
  if (cached_program->runs == 0)
    request_eviction (gate, cached_program);
}

void
mq_gate_cancel_eviction (struct mq_gate *gate,
                         struct gate_cached_program *cached_program)
{
  if (!cached_program->evicting)
    return;
  update_idle (gate, cached_program);
  cached_program->unused_token_ms = 0;
  cached_program->evicting = false;
  cached_program->evict_pending = false;
  gate->ended_tokens -= cached_program->tokens;
  gate->counters.cache_ended_tokens = gate->ended_tokens;
  set_retry (gate, cached_program, NEVER);
}

void
mq_gate_begin_evictions (struct mq_gate *gate, struct gate_program *program)
{
  struct gate_node *node = program->cached_programs.first;

  while (node != NULL)
    {
      begin_eviction (
          gate, GATE_ENTRY (node, struct gate_cached_program, by_program));
      node = node->next;
    }
}

/* Notifies the peer that ended PROGRAM once its caches are evicted.  */
void
mq_gate_notify_evicted (struct mq_gate *gate, struct gate_program *program)
{
  struct mq_message message = { .type = MQ_MSG_EVICTED };

  if (program->lease != GATE_LEASE_ENDED || program->cached_programs.count > 0)
    return;
  program->fully_evicted = true;
  if (program->evicted_peer == 0)
    return;
  message.u.evicted.program = program->id;
  if (mq_gate_peer_is_up (gate, program->evicted_peer))
    mq_gate_send (gate, program->evicted_peer, &message);
  program->evicted_peer = 0;
}

static void
confirm_eviction (struct mq_gate *gate,
                  struct gate_cached_program *cached_program)
{
  struct gate_program *program = cached_program->program;

  gate->counters.evictions++;
  free_holding (gate, cached_program);
  mq_gate_notify_evicted (gate, program);
}

/* Schedules another attempt after a failed eviction.  Attempts continue until
   the eviction is confirmed or the engine is known to be empty; otherwise the
   memory of ended programs would never be freed.  */
static void
fail_eviction (struct mq_gate *gate,
               struct gate_cached_program *cached_program)
{
  char program[MQ_ID_TEXT];

  if (!cached_program->failed)
    {
      mq_id_format (cached_program->program->id, program);
      mq_gate_log_state (gate, MQ_STATE_EVICT_RETRY, cached_program->worker,
                         program);
    }
  cached_program->failed = true;
  cached_program->evict_pending = false;
  set_retry (gate, cached_program,
             gate->now_us + cached_program->backoff_ms * MQ_US_PER_MS);
  cached_program->backoff_ms *= 2;
  if (cached_program->backoff_ms > MQ_GATE_EVICT_RETRY_MAX_MS)
    cached_program->backoff_ms = MQ_GATE_EVICT_RETRY_MAX_MS;
}

void
mq_gate_handle_evicted (struct mq_gate *gate,
                        const struct mq_gate_evicted *evicted)
{
  struct gate_program *program = mq_gate_program_find (gate, evicted->program);
  struct gate_cached_program *cached_program;

  if (program == NULL)
    return;
  cached_program = find_holding (program, evicted->worker);
  if (cached_program == NULL || !cached_program->evict_pending)
    return;
  if (evicted->confirmed)
    confirm_eviction (gate, cached_program);
  else
    fail_eviction (gate, cached_program);
}

void
mq_gate_retry_evictions (struct mq_gate *gate)
{
  struct gate_cached_program *cached_program
      = mq_gate_heap_first (&gate->retries);

  while (cached_program != NULL && cached_program->retry_us <= gate->now_us)
    {
      gate->counters.evictions_retried++;
      request_eviction (gate, cached_program);
      cached_program = mq_gate_heap_first (&gate->retries);
    }
}

/* Use by runs.  */

void
mq_gate_cache_run_started (struct mq_gate *gate, struct gate_run *run)
{
  struct gate_worker *worker = &gate->workers[run->worker];
  struct gate_cached_program *cached_program;

  if (!mq_gate_has_cache (worker))
    return;
  cached_program = mq_gate_get_cached_program (gate, run->program, worker);
  update_idle (gate, cached_program);
  cached_program->runs++;
}

static void
record_prefix (struct gate_worker *worker, uint64_t hash, uint32_t tokens,
               uint64_t now_us)
{
  struct gate_prefix *oldest = &worker->prefixes[0];

  if (hash == 0)
    return;
  for (uint32_t i = 0; i < GATE_PREFIXES_MAX; i++)
    {
      struct gate_prefix *prefix = &worker->prefixes[i];

      if (prefix->hash == hash)
        {
          prefix->last_used_us = now_us;
          if (tokens > 0)
            prefix->tokens = tokens;
          return;
        }
      if (prefix->last_used_us < oldest->last_used_us)
        oldest = prefix;
    }
  oldest->hash = hash;
  oldest->tokens = tokens;
  oldest->last_used_us = now_us;
}

/* Prompt tokens that were cached at this worker and had to be recomputed.  */
static uint32_t
count_recomputed (const struct gate_cached_program *cached_program,
                  const struct gate_run *run, const struct mq_gate_done *done)
{
  uint32_t had = cached_program->tokens;

  if (!run->continuing || had <= done->cached_tokens)
    return 0;
  if (had > done->tokens_in)
    had = done->tokens_in;
  return had > done->cached_tokens ? had - done->cached_tokens : 0;
}

static void
note_use (struct mq_gate *gate, struct gate_cached_program *cached_program,
          const struct gate_run *run, const struct mq_gate_done *done)
{
  if (done->tokens_in == 0)
    return;
  gate->counters.recomputed_tokens
      += count_recomputed (cached_program, run, done);
  if (done->cached_tokens > 0)
    cached_program->unused_token_ms = 0;
  else
    count_wasted (gate, cached_program);
  set_tokens (gate, cached_program, done->tokens_in + done->tokens_out);
}

void
mq_gate_cache_run_ended (struct mq_gate *gate, struct gate_run *run,
                         const struct mq_gate_done *done)
{
  struct gate_worker *worker = &gate->workers[run->worker];
  struct gate_cached_program *cached_program;

  if (!mq_gate_has_cache (worker))
    return;
  cached_program = mq_gate_get_cached_program (gate, run->program, worker);
  note_use (gate, cached_program, run, done);
  if (done->error == MQ_ERR_NONE)
    record_prefix (worker, run->shared_prefix,
                   run->continuing ? 0 : done->cached_tokens, gate->now_us);
  if (cached_program->runs > 0)
    cached_program->runs--;
  cached_program->idle_since_us = gate->now_us;
  cached_program->last_used_us = gate->now_us;
  if (cached_program->evicting && cached_program->runs == 0
      && !cached_program->evict_pending)
    request_eviction (gate, cached_program);
}

/* Cache reports.  */

static void
apply_report_entry (struct mq_gate *gate, struct gate_worker *worker,
                    const struct mq_gate_cache_entry *entry)
{
  struct gate_program *program = mq_gate_program_get (gate, entry->program);
  struct gate_cached_program *cached_program;

  if (program == NULL)
    return;
  cached_program = mq_gate_get_cached_program (gate, program, worker);
  cached_program->report = worker->report;
  if (cached_program->runs == 0)
    set_tokens (gate, cached_program, entry->tokens);
  switch (program->lease)
    {
    case GATE_LEASE_HELD:
      break;
    case GATE_LEASE_NONE:
      mq_gate_set_lease (gate, program, MQ_GATE_LEASE_GRACE_MS);
      break;
    case GATE_LEASE_EXPIRED:
    case GATE_LEASE_ENDED:
      begin_eviction (gate, cached_program);
      break;
    }
}

/* Whether the engine has dropped the cache.  A report may predate the end of a
   run, so the cache must have been idle since the previous report.  */
static bool
is_dropped (const struct gate_worker *worker,
            const struct gate_cached_program *cached_program)
{
  uint64_t last_us
      = cached_program->evict_sent_us > cached_program->last_used_us
            ? cached_program->evict_sent_us
            : cached_program->last_used_us;

  return cached_program->report != worker->report && cached_program->runs == 0
         && last_us < worker->previous_report_us;
}

static void
remove_dropped (struct mq_gate *gate, struct gate_worker *worker)
{
  struct gate_node *node = worker->cached_programs.first;

  while (node != NULL)
    {
      struct gate_cached_program *cached_program
          = GATE_ENTRY (node, struct gate_cached_program, by_worker);

      node = node->next;
      if (!is_dropped (worker, cached_program))
        continue;
      if (cached_program->evicting)
        confirm_eviction (gate, cached_program);
      else
        free_holding (gate, cached_program);
    }
}

/* Replaces the estimates by the contents reported by the engine.  This
   corrects lost cache events and restores the state after a restart of this
   process.  A program without a lease gets a short one, in which its owner can
   claim it; the caches of ended programs are evicted.  */
void
mq_gate_handle_cache_report (struct mq_gate *gate,
                             const struct mq_gate_cache *cache)
{
  struct gate_worker *worker;

  if (cache->worker >= gate->worker_count)
    return;
  worker = &gate->workers[cache->worker];
  worker->report++;
  worker->previous_report_us = worker->report_us;
  worker->report_us = gate->now_us;
  worker->shared_tokens = 0;
  if (cache->total != 0)
    worker->cache_tokens = cache->total;
  for (size_t i = 0; i < cache->entry_count; i++)
    if (mq_id_is_zero (cache->entries[i].program))
      worker->shared_tokens += cache->entries[i].tokens;
    else
      apply_report_entry (gate, worker, &cache->entries[i]);
  remove_dropped (gate, worker);
  worker->reported = true;
}

/* Clears the cache records of WORKER after a restart of its engine.  */
void
mq_gate_cache_reset (struct mq_gate *gate, struct gate_worker *worker)
{
  struct gate_node *node = worker->cached_programs.first;

  while (node != NULL)
    {
      struct gate_cached_program *cached_program
          = GATE_ENTRY (node, struct gate_cached_program, by_worker);

      node = node->next;
      if (cached_program->runs > 0)
        set_tokens (gate, cached_program, 0);
      else if (cached_program->evicting)
        confirm_eviction (gate, cached_program);
      else
        free_holding (gate, cached_program);
    }
  worker->shared_tokens = 0;
  worker->reported = true;
  for (uint32_t i = 0; i < GATE_PREFIXES_MAX; i++)
    worker->prefixes[i] = (struct gate_prefix){ 0 };
}

/* PROBE.  */

static uint32_t
find_prefix (const struct gate_worker *worker, uint64_t hash)
{
  if (hash == 0)
    return 0;
  for (uint32_t i = 0; i < GATE_PREFIXES_MAX; i++)
    if (worker->prefixes[i].hash == hash)
      return worker->prefixes[i].tokens == 0 ? 1 : worker->prefixes[i].tokens;
  return 0;
}

/* Replies with the worker that holds most of the program's tokens, then most
   of the shared prefix.  A prefix of unknown length counts as one token.  */
void
mq_gate_handle_probe (struct mq_gate *gate, uint32_t peer,
                      const struct mq_probe_msg *msg)
{
  const struct gate_program *program
      = mq_gate_program_find (gate, msg->program);
  struct mq_message message = { .type = MQ_MSG_PROBED };
  struct mq_probed_msg *best = &message.u.probed;

  best->probe = msg->probe;
  for (uint32_t i = 0; i < gate->worker_count; i++)
    {
      uint32_t tokens = program == NULL
                            ? 0
                            : mq_gate_count_cached_tokens (gate, program, i);
      uint32_t shared = find_prefix (&gate->workers[i], msg->shared_prefix);

      if (tokens < best->program_tokens
          || (tokens == best->program_tokens && shared <= best->shared_tokens))
        continue;
      best->worker = i;
      best->program_tokens = tokens;
      best->shared_tokens = shared;
    }
  mq_gate_send (gate, peer, &message);
}
