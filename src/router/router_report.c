/* router_report.c - metrics of a router in Prometheus text format.

   Needs: router_state.h, metrics.h.  */

#include "log/metrics.h"
#include "router_state.h"
#include <stddef.h>
#include <stdio.h>

/* 1 ms to 131 s, more than the longest timeout of a route.  */
static const struct mq_metrics_family latency
    = { .name = "mimosa_router_latency_seconds",
        .help = "request to the end of the worker's answer",
        .per_second = 1e3,
        .first_bit = 0,
        .last_bit = 17 };

/* Up to 8 s.  */
static const struct mq_metrics_family loop_delay_family
    = { .name = "mimosa_router_held_up_seconds",
        .help = "how late the event loop came to a timer",
        .per_second = 1e3,
        .first_bit = 0,
        .last_bit = 13 };

/* Up to 8 s, more than the timeout of a call.  */
static const struct mq_metrics_family table_time
    = { .name = "mimosa_router_table_seconds",
        .help = "call to the platform's table to its outcome",
        .per_second = 1e3,
        .first_bit = 0,
        .last_bit = 13 };

/* Up to 128 rows, more than a transaction holds.  */
static const struct mq_metrics_family batch_rows
    = { .name = "mimosa_router_transaction_rows",
        .help = "rows of a transaction that this host brought to the table",
        .per_second = 1,
        .first_bit = 0,
        .last_bit = 7 };

static void
add_counters (char **text, const struct mq_router *router)
{
#define ADD(name, help)                                                       \
  mq_metrics_add (text, "router", #name, help, router->counters.name);
  MQ_ROUTER_COUNTERS (ADD)
#undef ADD
}

static void
add_state (char **text, const struct mq_router *router)
{
  const struct mq_rows_counters *rows = mq_rows_counters (router->rows);
  const struct
  {
    const char *name;
    const char *help;
    uint64_t value;
  } list[] = {
    { "connections_opened", "connections opened to workers",
      mq_pool_opened (router->pool) },
    { "callers", "connections of callers", router->caller_count },
    { "requests_under_way", "requests that have no final answer",
      router->request_count },
    { "store_writes", "transactions sent to the platform's table",
      rows->writes },
    { "store_reads", "reads sent to the platform's table", rows->reads },
    { "store_refused", "calls that the platform's table turned away",
      rows->refused },
    { "store_lost", "calls to the platform's table without an outcome",
      rows->lost },
    { "hosts", "other routing hosts known", mq_router_host_count (router) },
    { "relay_asked", "calls made through other hosts",
      mq_relay_calls_sent (router->relay) },
    { "relay_served", "calls made for other hosts",
      mq_relay_calls_served (router->relay) },
    { "log_lines", "lines of the log", mq_json_log_written (router->log) },
    { "log_dropped", "lines of the log that were dropped for its bound",
      mq_json_log_dropped (router->log) },
  };

  for (size_t i = 0; i < sizeof list / sizeof list[0]; i++)
    mq_metrics_add (text, "router", list[i].name, list[i].help, list[i].value);
}

static void
add_latency (char **text, const struct mq_router *router)
{
  static const char *const labels[MQ_ROUTE_KINDS] = {
    [MQ_ROUTE_IDEMPOTENT] = "kind=\"idempotent\"",
    [MQ_ROUTE_AT_MOST_ONCE] = "kind=\"once\"",
    [MQ_ROUTE_STREAM] = "kind=\"stream\"",
  };

  mq_metrics_begin (text, &latency);
  for (size_t kind = 0; kind < MQ_ROUTE_KINDS; kind++)
    mq_metrics_series (text, &latency, labels[kind], &router->latency[kind]);
}

static void
add_table_time (char **text, const struct mq_router *router)
{
  mq_metrics_begin (text, &table_time);
  mq_metrics_series (text, &table_time, "call=\"read\"",
                     mq_table_client_read_ms (router->table_client));
  mq_metrics_series (text, &table_time, "call=\"write\"",
                     mq_table_client_write_ms (router->table_client));
}

/* A counter of calls to the table, at @offset of struct
   mq_rows_call_counters.  */
struct call_value
{
  const char *name;
  const char *help;
  size_t offset;
};

static const struct call_value call_values[] = {
  { "table_calls", "calls to the platform's table by table and kind",
    offsetof (struct mq_rows_call_counters, calls) },
  { "table_conflicts", "transactions whose condition did not hold",
    offsetof (struct mq_rows_call_counters, conflicts) },
  { "table_refused", "calls that the platform's table turned away",
    offsetof (struct mq_rows_call_counters, refused) },
  { "table_throttled", "calls beyond the rate of the platform's table",
    offsetof (struct mq_rows_call_counters, throttled) },
  { "table_rejected", "calls that the platform's table does not accept",
    offsetof (struct mq_rows_call_counters, rejected) },
  { "table_unanswered", "calls to the platform's table without a response",
    offsetof (struct mq_rows_call_counters, unanswered) },
  { "table_sent_bytes", "bytes of requests to the platform's table",
    offsetof (struct mq_rows_call_counters, sent_bytes) },
  { "table_received_bytes", "bytes of responses of the platform's table",
    offsetof (struct mq_rows_call_counters, received_bytes) },
};

static void
add_call_value (char **text, const struct mq_router *router,
                const struct call_value *value)
{
  const struct mq_rows_call_counters *list;
  size_t count = mq_rows_call_counters (router->rows, &list);

  mq_metrics_begin_values (text, "router", value->name, value->help);
  for (size_t i = 0; i < count; i++)
    {
      const uint8_t *counters = (const uint8_t *)&list[i];
      char labels[96];

      snprintf (labels, sizeof labels, "table=\"%s\",call=\"%s\"",
                list[i].table, list[i].kind);
      mq_metrics_labelled (text, "router", value->name, labels,
                           *(const uint64_t *)(counters + value->offset));
    }
}

char *
mq_router_metrics (TALLOC_CTX *ctx, const struct mq_router *router)
{
  char *text = talloc_strdup (ctx, "");

  add_counters (&text, router);
  add_state (&text, router);
  add_latency (&text, router);
  add_table_time (&text, router);
  for (size_t i = 0; i < sizeof call_values / sizeof call_values[0]; i++)
    add_call_value (&text, router, &call_values[i]);
  mq_metrics_begin (&text, &batch_rows);
  mq_metrics_series (&text, &batch_rows, "call=\"write\"",
                     mq_table_client_batch_rows (router->table_client));
  mq_metrics_begin (&text, &loop_delay_family);
  mq_metrics_series (&text, &loop_delay_family, "timer=\"sweep\"",
                     &router->loop_delay);
  mq_router_add_services (&text, router);
  mq_router_add_suspects (&text, router);
  mq_router_add_shares (&text, router);
  mq_router_add_speed (&text, router);
  mq_metrics_add_process (&text);
  return text;
}
