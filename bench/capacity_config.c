/* capacity_config.c - cost of loading a configuration from the feed's response
   into the route table, by number of routes.

   Needs: capacity.h, rows_state.h, router_wire.h, base64.h.  */

#include "capacity.h"
#include "../platform/rows_state.h"
#include "net/base64.h"
#include "router/router_wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NS_PER_US = 1000,
  CHUNK_BYTES = 16384, /* received at a time */
  STEP_BYTES = 16384,  /* parsed in one event loop iteration */
  ROUTES_OF_HOST = 25,
  REPEATS = 7
};

static char *
create_config (TALLOC_CTX *ctx, uint32_t routes)
{
  char *text = talloc_strdup (ctx, "{\"version\":7,\"routes\":[");

  for (uint32_t i = 0; i < routes; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "%s{\"name\":\"route-%u\",\"host\":\"host-%u.example\","
        "\"prefix\":\"/service-%u/\",\"kind\":\"idempotent\","
        "\"timeoutMs\":6000,\"sloMs\":200,\"priority\":1,"
        "\"service\":\"service-%u\",\"attempts\":2}",
        i == 0 ? "" : ",", i, i / ROUTES_OF_HOST, i, i % 12);
  return talloc_asprintf_append_buffer (
      text, "],\"services\":[{\"name\":\"service-1\",\"maxConns\":100}],"
            "\"limits\":{\"idleTimeoutMs\":15000}}");
}

/* The feed's response with the configuration row.  */
static char *
create_response (TALLOC_CTX *ctx, uint32_t routes)
{
  char *text = create_config (ctx, routes);
  struct mq_bytes value = { (uint8_t *)text, strlen (text) };

  return talloc_asprintf (
      ctx,
      "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\","
      "\"ver\":9,\"value\":\"%s\"}],\"ver\":9,\"nowMs\":1}",
      mq_base64_encode (ctx, value));
}

/* CPU time of each stage in microseconds.  */
struct series
{
  struct capacity_series *size, *body, *answer, *decode, *turn, *sort, *memory,
      *end;
};

static void
add_time (struct capacity_series *series, uint32_t routes, uint64_t *since)
{
  uint64_t now = capacity_cpu_ns ();

  capacity_series_add (series, routes, (double)(now - *since) / NS_PER_US);
  *since = capacity_cpu_ns ();
}

static void
receive_body (TALLOC_CTX *ctx, struct mq_buffer *body, struct rows_text *walk,
              const char *text)
{
  size_t len = strlen (text);

  for (size_t at = 0; at < len; at += CHUNK_BYTES)
    {
      if (!mq_buffer_append (ctx, body, text + at,
                             len - at < CHUNK_BYTES ? len - at : CHUNK_BYTES,
                             SIZE_MAX))
        abort ();
      rows_text_scan (ctx, walk, body);
    }
}

/* Parses VALUE over several event loop iterations; sets LONGEST to the longest
   in nanoseconds.  */
static struct mq_route_table *
parse_in_steps (TALLOC_CTX *ctx, struct mq_bytes value, uint64_t *longest)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_config_reader *reader = mq_wire_config_begin (ctx, value);
  enum mq_config_progress progress = MQ_CONFIG_MORE;

  while (progress == MQ_CONFIG_MORE)
    {
      uint64_t since = capacity_cpu_ns ();

      progress = mq_wire_config_parse_some (reader, STEP_BYTES, &error);
      since = capacity_cpu_ns () - since;
      *longest = since > *longest ? since : *longest;
    }
  if (progress != MQ_CONFIG_COMPLETE)
    abort ();
  return mq_wire_config_take_table (ctx, reader);
}

static void
measure (const struct series *series, uint32_t routes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *text = create_response (ctx, routes);
  struct mq_buffer body = { 0 };
  struct rows_text walk = { 0 };
  struct rows_response answer;
  struct mq_route_table *table;
  uint64_t longest = 0;
  uint64_t since = capacity_cpu_ns ();

  capacity_series_add (series->size, routes, (double)strlen (text));
  receive_body (ctx, &body, &walk, text);
  add_time (series->body, routes, &since);
  if (!rows_decode_response (ctx, &body, &walk, &answer))
    abort ();
  add_time (series->answer, routes, &since);
  table = parse_in_steps (ctx, answer.rows[0].value, &longest);
  add_time (series->decode, routes, &since);
  capacity_series_add (series->turn, routes, (double)longest / NS_PER_US);
  since = capacity_cpu_ns ();
  mq_route_table_sort (table);
  add_time (series->sort, routes, &since);
  capacity_series_add (series->memory, routes,
                       (double)capacity_memory (table));
  since = capacity_cpu_ns ();
  talloc_free (table);
  add_time (series->end, routes, &since);
  rows_free_response (&answer);
  talloc_free (ctx);
}

void
capacity_run_config (void)
{
  static const uint32_t sizes[] = { 50, 1400, 4250, 10000 };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct series series = {
    .size = capacity_series_create (ctx, "config.size", "routes", "bytes"),
    .body = capacity_series_create (ctx, "config.body", "routes", "us"),
    .answer = capacity_series_create (ctx, "config.answer", "routes", "us"),
    .decode = capacity_series_create (ctx, "config.decode", "routes", "us"),
    .turn
    = capacity_series_create (ctx, "config.longest_turn", "routes", "us"),
    .sort = capacity_series_create (ctx, "config.sort", "routes", "us"),
    .memory = capacity_series_create (ctx, "config.memory", "routes",
                                      "bytes of memory"),
    .end = capacity_series_create (ctx, "config.free", "routes", "us"),
  };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < REPEATS; repeat++)
      measure (&series, sizes[i]);
  capacity_series_print (series.size);
  capacity_series_print (series.body);
  capacity_series_print (series.answer);
  capacity_series_print (series.decode);
  capacity_series_print (series.turn);
  capacity_series_print (series.sort);
  capacity_series_print (series.memory);
  capacity_series_print (series.end);
  talloc_free (ctx);
}
