/* test_turns.c - unit tests of budgets, conversation histories and events.

   Needs: Criterion, budget.h, chain.h, event_stream.h.  */

#include "core/router/budget.h"
#include "core/router/chain.h"
#include "core/router/event_stream.h"
#include "core/id.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

/* Budgets */

#define HOSTS 3
#define TURN_TOKENS_MAX 10U

/* The record in the table and each host's state.  */
struct world
{
  struct mq_budget_record record;
  uint64_t version;
  struct mq_budget hosts[HOSTS];
  uint64_t holder[HOSTS];
  uint64_t generated;
  int running[HOSTS];
};

static bool
write_record (struct world *world, int host,
              const struct mq_budget_record *next)
{
  struct mq_budget *budget = &world->hosts[host];

  if (budget->version != world->version)
    {
      mq_budget_record_read (budget, world->holder[host], &world->record,
                             world->version);
      return false;
    }
  world->record = *next;
  world->version++;
  mq_budget_record_written (budget, world->holder[host], next, world->version);
  return true;
}

/* Whether HOST may start a turn; reads and writes the table as needed.  */
static bool
begin_turn (struct world *world, int host, uint64_t limit)
{
  bool fresh = false;

  for (int i = 0; i < 20; i++)
    {
      struct mq_budget_record next;
      struct mq_budget *budget = &world->hosts[host];

      switch (mq_budget_reserve (budget, world->holder[host], limit,
                                 TURN_TOKENS_MAX, &next))
        {
        case MQ_BUDGET_RESERVED:
          world->running[host]++;
          return true;
        case MQ_BUDGET_WRITE:
          write_record (world, host, &next);
          break;
        case MQ_BUDGET_UNCERTAIN:
          if (fresh)
            return false;
          /* fallthrough */
        case MQ_BUDGET_READ:
          mq_budget_record_read (budget, world->holder[host], &world->record,
                                 world->version);
          fresh = true;
          break;
        case MQ_BUDGET_EXHAUSTED:
          return false;
        }
    }
  cr_assert_fail ("the reservation does not terminate");
  return false;
}

static void
end_turn (struct world *world, int host, uint64_t used)
{
  world->generated += used;
  world->running[host]--;
  mq_budget_settle (&world->hosts[host], TURN_TOKENS_MAX, used);
}

static void
lose_host (struct world *world, int host, uint64_t *state)
{
  world->hosts[host] = (struct mq_budget){ .version = 0 };
  world->holder[host] = mq_random_next (state);
  world->generated += (uint64_t)world->running[host] * TURN_TOKENS_MAX;
  world->running[host] = 0;
}

/* The budget is never exceeded, whatever the order of turns at three hosts and
   even if hosts lose their state while turns run.  */
Test (budget, never_exceeded)
{
  for (uint64_t seed = 1; seed <= 400; seed++)
    {
      struct world world = { .version = 0 };
      uint64_t state = seed;
      uint64_t limit = 20 + mq_random_below (&state, 100);

      for (int i = 0; i < HOSTS; i++)
        world.holder[i] = mq_random_next (&state);
      for (int step = 0; step < 300; step++)
        {
          int host = (int)mq_random_below (&state, HOSTS);
          uint32_t what = mq_random_below (&state, 20);

          if (what == 0)
            lose_host (&world, host, &state);
          else if (what < 11)
            begin_turn (&world, host, limit);
          else if (world.running[host] > 0)
            end_turn (&world, host,
                      mq_random_below (&state, TURN_TOKENS_MAX + 1));
        }
      for (int i = 0; i < HOSTS; i++)
        while (world.running[i] > 0)
          end_turn (&world, i, TURN_TOKENS_MAX);
      cr_assert_leq (world.generated, limit, "seed %lu: %lu of %lu",
                     (unsigned long)seed, (unsigned long)world.generated,
                     (unsigned long)limit);
    }
}

/* Guards against exhausting most of a budget by the grants of two failed
 * hosts.
 */
Test (budget, lost_hosts_do_not_exhaust_the_budget)
{
  static const uint64_t limits[] = { 17, 31, 45, 62, 500 };

  for (size_t i = 0; i < ROWS (limits); i++)
    {
      struct world world = { .version = 0, .holder = { 7, 8, 9 } };
      uint64_t state = 3;
      int turns = limits[i] < (uint64_t)3 * TURN_TOKENS_MAX ? 1 : 2;

      for (int host = 0; host < turns; host++)
        {
          struct mq_budget_record next;

          cr_assert (begin_turn (&world, host, limits[i]));
          end_turn (&world, host, 2);
          if (mq_budget_release (&world.hosts[host], world.holder[host],
                                 limits[i], TURN_TOKENS_MAX, &next))
            write_record (&world, host, &next);
        }
      lose_host (&world, 0, &state);
      lose_host (&world, 1, &state);
      cr_expect (begin_turn (&world, 2, limits[i]), "limit %lu",
                 (unsigned long)limits[i]);
    }
}

/* The budget holds and the program continues after a write without a reply,
   whether or not it was applied.  */
Test (budget, write_without_reply)
{
  for (int done = 0; done < 2; done++)
    {
      struct world world = { .version = 0, .holder = { 7 } };
      struct mq_budget_record next;
      int served = 0;

      cr_assert_eq (
          mq_budget_reserve (&world.hosts[0], 7, 50, TURN_TOKENS_MAX, &next),
          MQ_BUDGET_WRITE);
      if (done != 0)
        {
          world.record = next;
          world.version++;
        }
      while (begin_turn (&world, 0, 50))
        {
          end_turn (&world, 0, TURN_TOKENS_MAX);
          served++;
        }
      cr_assert_geq (served, 5);
      cr_assert_leq (world.generated, 50);
    }
}

Test (budget, one_write_serves_several_turns)
{
  struct world world = { .version = 0, .holder = { 7 } };

  for (int i = 0; i < 5; i++)
    {
      cr_assert (begin_turn (&world, 0, 80));
      end_turn (&world, 0, 2);
    }
  cr_assert_eq (world.version, 1);
}

Test (budget, record_is_packed_and_unpacked)
{
  struct mq_budget_record record
      = { .limit = 1088, .spent = 34, .home = 0x123456789abcdef0 };
  struct mq_budget_record read;
  struct mq_bytes bytes;

  for (uint32_t i = 0; i < MQ_BUDGET_HOLDERS_MAX; i++)
    record.grants[record.grant_count++]
        = (struct mq_budget_grant){ i + 1, 10 * i + 1 };
  bytes = mq_budget_pack (NULL, &record);
  cr_assert (mq_budget_unpack (bytes, &read));
  cr_assert_eq (read.limit, record.limit);
  cr_assert_eq (read.spent, record.spent);
  cr_assert_eq (read.home, record.home);
  cr_assert_eq (read.grant_count, record.grant_count);
  for (uint32_t i = 0; i < record.grant_count; i++)
    {
      cr_assert_eq (read.grants[i].holder, record.grants[i].holder);
      cr_assert_eq (read.grants[i].tokens, record.grants[i].tokens);
    }
  bytes.len--;
  cr_assert_not (mq_budget_unpack (bytes, &read));
  talloc_free (bytes.data);
}

/* Histories */

static struct mq_bytes
text (const char *value)
{
  return (struct mq_bytes){ (uint8_t *)(uintptr_t)value, strlen (value) };
}

static bool
has_text (const struct mq_chain *chain, const char *value)
{
  return chain->text.len == strlen (value)
         && memcmp (chain->text.data, value, chain->text.len) == 0;
}

Test (chain, grows_turn_by_turn)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_chain *one
      = mq_chain_extend (ctx, NULL, "t1", text ("in1;"), text ("a\n"));
  struct mq_chain *two
      = mq_chain_extend (ctx, one, "t2", text ("in2;"), text ("b\nc\n"));
  struct mq_chain *side
      = mq_chain_extend (ctx, one, "t3", text (""), text (""));
  struct mq_chain *read
      = mq_chain_unpack (ctx, "t2", mq_chain_pack (ctx, two));

  cr_assert (has_text (one, "in1;a\n"));
  cr_assert (has_text (two, "in1;a\nin2;b\nc\n"));
  cr_assert (has_text (side, "in1;a\n"));
  cr_assert (has_text (read, "in1;a\nin2;b\nc\n"));
  cr_assert_str_eq (read->base, "");
  talloc_free (ctx);
}

/* A long chain is split into rows of bounded size that restore its text.  */
Test (chain, long_chains_are_split_into_rows)
{
  enum
  {
    TURNS = 40,
    TURN_BYTES = 5000
  };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_chain *chains[TURNS];
  struct mq_chain *read;
  char *input = talloc_size (ctx, TURN_BYTES + 1);
  int rows = 1;

  for (int i = 0; i < TURNS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "t%d", i);
      memset (input, 'a' + i % 26, TURN_BYTES);
      input[TURN_BYTES] = '\0';
      chains[i] = mq_chain_extend (ctx, i == 0 ? NULL : chains[i - 1], id,
                                   text (input), text (""));
      cr_assert_leq (mq_chain_pack (ctx, chains[i]).len, 65536U * 3 / 4);
    }
  read = mq_chain_unpack (ctx, "t39", mq_chain_pack (ctx, chains[TURNS - 1]));
  for (const char *base = read->base; base[0] != '\0'; rows++)
    {
      struct mq_chain *before = chains[atoi (base + 1)];
      struct mq_chain *piece
          = mq_chain_unpack (ctx, base, mq_chain_pack (ctx, before));

      cr_assert (mq_chain_prepend (read, piece));
      base = piece->base;
    }
  cr_assert_eq (read->text.len, chains[TURNS - 1]->text.len);
  cr_assert_eq (
      memcmp (read->text.data, chains[TURNS - 1]->text.data, read->text.len),
      0);
  cr_assert (rows > 1 && rows < 6, "%d rows", rows);
  talloc_free (ctx);
}

Test (chain, cache_evicts_least_recently_used)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_chain_cache *cache = mq_chain_cache_create (ctx, 10000);
  char *input = talloc_zero_size (ctx, 2001);

  memset (input, 'x', 2000);
  for (int i = 0; i < 20; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "t%d", i);
      mq_chain_cache_put (
          cache, mq_chain_extend (ctx, NULL, id, text (input), text ("")));
      cr_assert_not_null (mq_chain_cache_find (cache, id));
      cr_assert_not_null (mq_chain_cache_find (cache, "t0"));
    }
  cr_assert_null (mq_chain_cache_find (cache, "t5"));
  cr_assert_null (mq_chain_cache_find (cache, "none"));
  talloc_free (ctx);
}

/* Events */

struct event_case
{
  const char *name;
  const char *text;
  int events;
  const char *last_id;
  const char *last_data;
  bool partial;
};

Test (events, split_at_any_byte)
{
  static const struct event_case cases[] = {
    { "one", "id: 1\ndata: a\n\n", 1, "1", "a", false },
    { "no space after the colon", "id:1\ndata:a\n\n", 1, "1", "a", false },
    { "carriage returns", "id: 1\r\ndata: a\r\n\r\n", 1, "1", "a", false },
    { "two data lines", "id: 1\ndata: a\ndata: b\n\n", 1, "1", "a\nb", false },
    { "a comment", ": note\n\nid: 2\ndata: x\n\n", 2, "2", "x", false },
    { "unknown field", "x-weights: 3\nid: 7\ndata: y\n\n", 1, "7", "y",
      false },
    { "truncated", "id: 1\ndata: a\n\nid: 2\nda", 1, "1", "a", true },
    { "no empty line", "id: 1\ndata: a\n", 0, "", "", true },
    { "empty data", "id: 4\ndata:\n\n", 1, "4", "", false },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    for (size_t cut = 0; cut <= strlen (cases[i].text); cut++)
      {
        struct mq_event_stream *stream = mq_event_stream_create (NULL);
        struct mq_event event;
        char id[16] = "";
        char data[16] = "";
        char all[128] = "";
        int count = 0;

        for (int half = 0; half < 2; half++)
          {
            const char *from = cases[i].text + (half == 0 ? 0 : cut);
            size_t len = half == 0 ? cut : strlen (from);

            cr_assert (mq_event_stream_feed (stream, from, len));
            while (mq_event_stream_next (stream, &event))
              {
                count++;
                snprintf (id, sizeof id, "%.*s", (int)event.id_len, event.id);
                snprintf (data, sizeof data, "%.*s", (int)event.data_len,
                          event.data_len == 0 ? "" : event.data);
                strncat (all, event.text, event.len);
              }
          }
        cr_assert_eq (count, cases[i].events, "%s", cases[i].name);
        cr_assert_str_eq (id, cases[i].last_id, "%s", cases[i].name);
        cr_assert_str_eq (data, cases[i].last_data, "%s", cases[i].name);
        cr_assert_eq (mq_event_stream_has_partial (stream), cases[i].partial,
                      "%s", cases[i].name);
        cr_assert_eq (strncmp (all, cases[i].text, strlen (all)), 0, "%s",
                      cases[i].name);
        mq_event_stream_destroy (stream);
      }
}

Test (events, oversized_event_is_rejected)
{
  struct mq_event_stream *stream = mq_event_stream_create (NULL);
  char bytes[4096];
  size_t fed = 0;

  memset (bytes, 'x', sizeof bytes);
  while (mq_event_stream_feed (stream, bytes, sizeof bytes))
    fed += sizeof bytes;
  cr_assert_eq (fed, MQ_EVENT_MAX_BYTES);
  mq_event_stream_destroy (stream);
}
