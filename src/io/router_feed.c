/* router_feed.c - the configuration in force and the workers that are listed.

   Both are followed in the platform's table.  A configuration is taken into
   force only when its version is newer, so that what a process does never
   falls back.
   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "clock.h"
#include <string.h>

/**
 * struct mq_confirm - someone who waits for the newest configuration
 */
struct mq_confirm
{
  struct mq_router *router;
  struct mq_rows_call *call;
  mq_confirmed *told;
  void *user;
};

static void
log_config (struct mq_router *router, const char *event, uint64_t version,
            const struct mq_error *error)
{
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_NOTE, event);
  mq_json_number (&line, "version", version);
  if (router->routes != NULL)
    mq_json_number (&line, "in_force", router->routes->version);
  if (error != NULL)
    {
      mq_json_text (&line, "error", mq_error_name (error->type));
      mq_json_text (&line, "subject", error->subject);
      mq_json_text (&line, "allowed", error->allowed);
    }
  mq_json_end (&line);
}

static void
take_config (struct mq_router *router, struct mq_bytes value)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_route_table *table = mq_wire_read_config (router, value, &error);

  if (table == NULL)
    {
      log_config (router, "config_unreadable", 0, &error);
      return;
    }
  if (router->routes != NULL && table->version <= router->routes->version)
    {
      talloc_free (table);
      return;
    }
  mq_route_table_sort (table);
  /* Requests under way hold a reference to the one they began with.  */
  if (router->routes != NULL)
    talloc_unlink (router, router->routes);
  router->routes = table;
  router->counters.config_changes++;
  log_config (router, "config_in_force", table->version, NULL);
}

static void
on_config_row (const struct mq_rows_entry *row, void *user)
{
  if (strcmp (row->key, mq_wire_config_key) == 0)
    take_config (user, row->value);
}

static void
log_worker (struct mq_router *router, const char *event, const char *id,
            const struct mq_fleet_member *member)
{
  struct mq_json_line line;

  router->counters.worker_changes++;
  mq_json_begin (&line, router->log, MQ_JSON_NOTE, event);
  mq_json_text (&line, "worker", id);
  if (member != NULL)
    {
      mq_json_text (&line, "service", member->service);
      mq_json_text (&line, "address", member->address);
      mq_json_text (&line, "state", member->leaving ? "leaving" : "ready");
    }
  mq_json_end (&line);
}

static void
on_worker_row (const struct mq_rows_entry *row, void *user)
{
  struct mq_router *router = user;
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_fleet_member member;
  TALLOC_CTX *ctx = talloc_new (router);
  bool changed = false;

  if (!mq_wire_read_worker (ctx, row->key, row->value, &member, &error))
    log_worker (router, "worker_unreadable", row->key, NULL);
  else if (mq_fleet_put (router->fleet, &member, &changed) && changed)
    log_worker (router, "worker_listed", member.id, &member);
  talloc_free (ctx);
}

static void
on_worker_gone (const char *key, void *user)
{
  struct mq_router *router = user;

  if (mq_fleet_remove (router->fleet, key))
    log_worker (router, "worker_gone", key, NULL);
}

static void
on_worker_list (bool begins, void *user)
{
  struct mq_router *router = user;

  if (begins)
    {
      mq_fleet_list_begin (router->fleet);
      return;
    }
  mq_fleet_list_end (router->fleet);
  router->workers_listed = true;
}

void
mq_feed_start (struct mq_router *router)
{
  struct mq_rows_watcher config = { .row = on_config_row, .user = router };
  struct mq_rows_watcher workers = { .list = on_worker_list,
                                     .row = on_worker_row,
                                     .gone = on_worker_gone,
                                     .user = router };

  mq_rows_watch (router->rows, mq_wire_config_table, &config);
  mq_rows_watch (router->rows, mq_wire_worker_table, &workers);
}

static void
on_confirm_read (const struct mq_rows_result *result, void *user)
{
  struct mq_confirm *confirm = user;
  struct mq_router *router = confirm->router;
  bool current = result->status == MQ_STORE_OK && result->row_count > 0;

  confirm->call = NULL;
  if (current)
    take_config (router, result->rows[0].value);
  confirm->told (current, confirm->user);
  talloc_free (confirm);
}

struct mq_confirm *
mq_feed_confirm (struct mq_router *router, mq_confirmed *told, void *user)
{
  struct mq_confirm *confirm = talloc_zero (router, struct mq_confirm);

  if (confirm == NULL)
    return NULL;
  confirm->router = router;
  confirm->told = told;
  confirm->user = user;
  confirm->call = mq_rows_get (router->rows, mq_wire_config_table, "",
                               mq_wire_config_key, on_confirm_read, confirm);
  return confirm;
}

void
mq_feed_forget (struct mq_confirm *confirm)
{
  if (confirm == NULL)
    return;
  if (confirm->call != NULL)
    mq_rows_cancel (confirm->call);
  talloc_free (confirm);
}
