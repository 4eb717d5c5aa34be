/* test_commit_queue.c - writes batched into transactions.

   Needs: Criterion, commit_queue.h, rows_server.h, stepped_clock.h.  */

#include "../platform/standins/rows_server.h"
#include "router/commit_queue.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

/* Writes that caused a conflict.  */
struct conflict_case
{
  const char *name;
  uint64_t expected[3]; /* versions that the writes expect */
  uint64_t current[3];  /* versions in the conflict result, 0: no such row */
  bool conflicts[3];
};

Test (commit_queue, conflicts)
{
  static const char *const keys[] = { "a", "b", "c" };
  static const struct conflict_case cases[] = {
    { "one row is newer", { 5, 6, 7 }, { 5, 9, 7 }, { false, true, false } },
    { "one row exists", { 0, 6, 7 }, { 3, 6, 7 }, { true, false, false } },
    { "one row is absent", { 5, 6, 0 }, { 0, 6, 0 }, { true, false, false } },
    { "two conflicts", { 5, 6, 7 }, { 8, 6, 9 }, { true, false, true } },
    { "no condition",
      { MQ_VERSION_ANY, 6, 7 },
      { 3, 8, 7 },
      { false, true, false } },
    { "rows show no cause", { 5, 6, 7 }, { 5, 6, 7 }, { true, true, true } },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_rows_entry entries[3];
      struct mq_rows_entry rows[3];
      struct mq_rows_result result
          = { .status = MQ_STORE_CONFLICT, .rows = rows };
      bool conflicts[3];

      for (size_t k = 0; k < 3; k++)
        {
          entries[k]
              = (struct mq_rows_entry){ .table = "t",
                                        .part = "p",
                                        .key = keys[k],
                                        .version = cases[i].expected[k] };
          if (cases[i].current[k] != 0)
            rows[result.row_count++]
                = (struct mq_rows_entry){ .table = "t",
                                          .part = "p",
                                          .key = keys[k],
                                          .version = cases[i].current[k] };
        }
      (void)mq_commit_find_conflicts (entries, 3, &result, conflicts);
      for (size_t k = 0; k < 3; k++)
        cr_expect_eq (conflicts[k], cases[i].conflicts[k], "%s: %zu",
                      cases[i].name, k);
    }
}

/* Against a table */

#define WRITES 20

struct outcome
{
  int calls;
  enum mq_store_status status;
  size_t rows;
};

static struct tevent_context *ev;
static struct rows_server *table;
static struct mq_rows *rows_client;
static struct mq_relay *relay;
static struct mq_commit_queue *queue;
static struct outcome outcomes[WRITES];

static void
set_up (void)
{
  static const struct mq_relay_owner nobody = { .user = NULL };
  struct mq_error error = { .type = MQ_ERR_NONE };

  stepped_clock_begin ();
  ev = tevent_context_init (NULL);
  table = rows_server_create (ev, ev);
  rows_client = mq_rows_create (
      ev, ev,
      talloc_asprintf (ev, "127.0.0.1:%u", rows_server_port (table, 0)));
  relay
      = mq_relay_create (ev, ev, "127.0.0.1:0", rows_client, &nobody, &error);
  cr_assert_not_null (relay);
  queue = mq_commit_queue_create (ev, rows_client, relay);
  memset (outcomes, 0, sizeof outcomes);
}

static void
tear_down (void)
{
  mq_relay_destroy (relay);
  mq_rows_destroy (rows_client);
  rows_server_destroy (table);
  talloc_free (ev);
}

TestSuite (commits, .init = set_up, .fini = tear_down, .timeout = 60);

static void
on_done (const struct mq_rows_result *result, void *user)
{
  struct outcome *outcome = user;

  outcome->calls++;
  outcome->status = result->status;
  outcome->rows = result->row_count;
}

static struct mq_commit *
write_row (int i, const char *part, const char *key, uint64_t version)
{
  struct mq_rows_entry entry = { .table = "t",
                                 .part = part,
                                 .key = key,
                                 .version = version,
                                 .value = { (uint8_t *)(uintptr_t) "v", 1 } };

  return mq_commit_add (queue, &entry, on_done, &outcomes[i]);
}

static void
wait_for (int count)
{
  int calls = 0;

  while (calls < count)
    {
      calls = 0;
      stepped_clock_run (ev, 1);
      for (int i = 0; i < WRITES; i++)
        calls += outcomes[i].calls;
    }
}

/* Writes that arrive while a transaction is in flight share the next
 * one.  */
Test (commits, batched)
{
  char key[32];

  for (int i = 0; i < WRITES; i++)
    {
      snprintf (key, sizeof key, "k%d", i);
      write_row (i, "p", key, MQ_VERSION_ABSENT);
    }
  wait_for (WRITES);
  for (int i = 0; i < WRITES; i++)
    cr_expect_eq (outcomes[i].status, MQ_STORE_OK);
  cr_expect_eq (rows_server_row_count (table, "t"), WRITES);
  cr_expect_eq (rows_server_write_count (table), 2);
}

/* A write whose condition fails is the only one to get the conflict, with its
   row.  */
Test (commits, conflict_affects_one_write)
{
  write_row (0, "p", "first", MQ_VERSION_ABSENT);
  write_row (1, "p", "a", MQ_VERSION_ABSENT);
  write_row (2, "p", "first", MQ_VERSION_ABSENT);
  write_row (3, "p", "b", MQ_VERSION_ABSENT);
  wait_for (4);
  cr_expect_eq (outcomes[0].status, MQ_STORE_OK);
  cr_expect_eq (outcomes[1].status, MQ_STORE_OK);
  cr_expect_eq (outcomes[2].status, MQ_STORE_CONFLICT);
  cr_expect_eq (outcomes[2].rows, 1);
  cr_expect_eq (outcomes[3].status, MQ_STORE_OK);
  for (int i = 0; i < 4; i++)
    cr_expect_eq (outcomes[i].calls, 1);
}

/* Two writes to one row never share a transaction.  */
Test (commits, row_written_once)
{
  write_row (0, "p", "first", MQ_VERSION_ANY);
  write_row (1, "p", "same", MQ_VERSION_ABSENT);
  write_row (2, "p", "same", MQ_VERSION_ANY);
  wait_for (3);
  for (int i = 0; i < 3; i++)
    cr_expect_eq (outcomes[i].status, MQ_STORE_OK);
  cr_expect_eq (rows_server_write_count (table), 3);
}

/* If an answer is lost, every write of the batch ends as LOST.  */
Test (commits, lost_answer_reaches_all)
{
  rows_server_set_fault (table, ROWS_LOSE_REPLIES);
  write_row (0, "p", "first", MQ_VERSION_ABSENT);
  write_row (1, "p", "a", MQ_VERSION_ABSENT);
  write_row (2, "p", "b", MQ_VERSION_ABSENT);
  wait_for (3);
  for (int i = 0; i < 3; i++)
    cr_expect_eq (outcomes[i].status, MQ_STORE_LOST, "%d", i);
}

/* A write cancelled before it is sent is never executed.  */
Test (commits, cancelled)
{
  struct mq_commit *sent = write_row (0, "p", "first", MQ_VERSION_ABSENT);
  struct mq_commit *queued = write_row (1, "p", "second", MQ_VERSION_ABSENT);

  write_row (2, "p", "third", MQ_VERSION_ABSENT);
  mq_commit_cancel (sent);
  mq_commit_cancel (queued);
  wait_for (1);
  cr_expect_eq (outcomes[2].status, MQ_STORE_OK);
  cr_expect_eq (outcomes[0].calls + outcomes[1].calls, 0);
  cr_expect_eq (rows_server_row_count (table, "t"), 2);
}

/* Longer than the table accepts.  */
#define LONG_KEY_BYTES 201

/* Failure: the table rejects one row of a transaction, and the other writes of
   the batch fail with it.  */
Test (commits, rejected_row_fails_one_write)
{
  char key[LONG_KEY_BYTES + 1] = "";

  memset (key, 'k', LONG_KEY_BYTES);
  write_row (0, "p", "first", MQ_VERSION_ABSENT);
  write_row (1, "p", "a", MQ_VERSION_ABSENT);
  write_row (2, "p", key, MQ_VERSION_ABSENT);
  write_row (3, "p", "b", MQ_VERSION_ABSENT);
  wait_for (4);
  for (int i = 0; i < 4; i++)
    {
      cr_expect_eq (outcomes[i].status,
                    i == 2 ? MQ_STORE_REJECTED : MQ_STORE_OK, "%d", i);
      cr_expect_eq (outcomes[i].calls, 1, "%d", i);
    }
  cr_expect_not (mq_rows_down (rows_client));
}

#define MANY_WRITES 150

/* Failure: rows with a condition make two entries of a transaction; one over
   the table's limit is rejected, and all its writes fail.  */
Test (commits, transaction_keeps_the_limit_of_entries)
{
  static const struct
  {
    const char *name;
    uint64_t version;
    size_t transactions; /* the first write, then the rest */
  } rows[] = {
    { "with a condition", MQ_VERSION_ABSENT, 4 },
    { "without", MQ_VERSION_ANY, 3 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      static struct outcome many[MANY_WRITES];
      size_t before = rows_server_write_count (table);
      int done = 0;

      memset (many, 0, sizeof many);
      for (int k = 0; k < MANY_WRITES; k++)
        {
          char key[32];
          struct mq_rows_entry entry = {
            .table = "t", .part = "p", .key = key, .version = rows[i].version
          };

          snprintf (key, sizeof key, "k%zu-%d", i, k);
          mq_commit_add (queue, &entry, on_done, &many[k]);
        }
      while (done < MANY_WRITES)
        {
          stepped_clock_run (ev, 1);
          done = 0;
          for (int k = 0; k < MANY_WRITES; k++)
            done += many[k].calls;
        }
      for (int k = 0; k < MANY_WRITES; k++)
        cr_expect_eq (many[k].status, MQ_STORE_OK, "%s: %d", rows[i].name, k);
      cr_expect_eq (rows_server_write_count (table) - before,
                    rows[i].transactions, "%s", rows[i].name);
    }
}

/* Several data centres */

#define MEMBERS 4
#define MEMBER_WRITES 10
#define SLOW_MS 120U
/* Transactions if each member sends its own: the first write, then the
   rest.  */
#define SEPARATE_TRANSACTIONS (2 * MEMBERS)

/* The only host of a data centre.  */
struct member
{
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_commit_queue *queue;
  struct outcome outcomes[MEMBER_WRITES];
};

static struct member members[MEMBERS];

static void
ignore_row (const struct mq_rows_entry *row, void *user)
{
  (void)row;
  (void)user;
}

static void
start_member (struct member *member, int index)
{
  static const struct mq_relay_owner nobody = { .user = NULL };
  struct mq_rows_watcher watcher = { .row = ignore_row };

  *member = (struct member){ 0 };
  member->rows = mq_rows_create (
      ev, ev,
      talloc_asprintf (ev, "127.0.0.1:%u",
                       rows_server_port (table, index % ROWS_ENDPOINTS)));
  member->relay
      = mq_relay_create (ev, ev, "127.0.0.1:0", member->rows, &nobody, NULL);
  cr_assert_not_null (member->relay);
  member->queue = mq_commit_queue_create (ev, member->rows, member->relay);
  mq_relay_set_write_handler (member->relay, mq_commit_add_relayed,
                              member->queue);
  mq_rows_watch (member->rows, "t", &watcher);
}

static void
list_members (struct member *member)
{
  mq_relay_list_begin (member->relay);
  for (int i = 0; i < MEMBERS; i++)
    {
      struct mq_relay_listing listing
          = { .address = mq_relay_address (members[i].relay),
              .data_centre = "d" };

      if (&members[i] != member)
        mq_relay_list_host (member->relay, &listing);
    }
  mq_relay_list_end (member->relay);
}

static void
write_member_row (struct member *member, int index, int number)
{
  char key[16];
  struct mq_rows_entry entry = {
    .table = "t", .part = "00", .key = key, .version = MQ_VERSION_ABSENT
  };

  snprintf (key, sizeof key, "m%d-%d", index, number);
  mq_commit_add (member->queue, &entry, on_done, &member->outcomes[number]);
}

static bool
members_know_latency (void)
{
  for (int i = 0; i < MEMBERS; i++)
    if (mq_rows_latency_ms (members[i].rows) < SLOW_MS / 2)
      return false;
  return true;
}

static int
members_done (void)
{
  int done = 0;

  for (int i = 0; i < MEMBERS; i++)
    for (int k = 0; k < MEMBER_WRITES; k++)
      done += members[i].outcomes[k].calls;
  return done;
}

/* Failure: each data centre writes its own transactions to a slow table, and
   they wait for each other.  */
Test (commits, data_centres_share_transactions_of_a_slow_table)
{
  size_t before;

  for (int i = 0; i < MEMBERS; i++)
    start_member (&members[i], i);
  for (int i = 0; i < MEMBERS; i++)
    list_members (&members[i]);
  rows_server_set_delay (table, SLOW_MS);
  while (!members_know_latency ())
    stepped_clock_run (ev, 1);
  before = rows_server_write_count (table);
  for (int i = 0; i < MEMBERS; i++)
    for (int k = 0; k < MEMBER_WRITES; k++)
      write_member_row (&members[i], i, k);
  while (members_done () < MEMBERS * MEMBER_WRITES)
    stepped_clock_run (ev, 1);
  cr_expect_lt (rows_server_write_count (table) - before,
                (size_t)SEPARATE_TRANSACTIONS);
  for (int i = 0; i < MEMBERS; i++)
    for (int k = 0; k < MEMBER_WRITES; k++)
      cr_expect_eq (members[i].outcomes[k].status, MQ_STORE_OK, "%d %d", i, k);
}

/* Failure: hosts that can't reach the table pass a write back and forth, and
   each waits for the other.  */
Test (commits, write_is_relayed_once)
{
  for (int i = 0; i < MEMBERS; i++)
    start_member (&members[i], i);
  for (int i = 0; i < MEMBERS; i++)
    list_members (&members[i]);
  for (int i = 0; i < MEMBERS; i++)
    while (!mq_rows_feeds_healthy (members[i].rows))
      stepped_clock_run (ev, 1);
  rows_server_set_fault (table, ROWS_UNAVAILABLE);
  for (int i = 0; i < MEMBERS; i++)
    while (!mq_rows_down (members[i].rows))
      {
        members[i].outcomes[0].calls = 0;
        write_member_row (&members[i], i, 0);
        while (members[i].outcomes[0].calls == 0)
          stepped_clock_run (ev, 1);
      }
  for (int i = 0; i < MEMBERS; i++)
    {
      uint64_t sent[MEMBERS];

      for (int k = 0; k < MEMBERS; k++)
        sent[k] = mq_relay_calls_sent (members[k].relay);
      members[i].outcomes[1] = (struct outcome){ 0 };
      write_member_row (&members[i], i, 1);
      while (members[i].outcomes[1].calls == 0)
        stepped_clock_run (ev, 1);
      cr_expect_eq (members[i].outcomes[1].status, MQ_STORE_DOWN);
      for (int k = 0; k < MEMBERS; k++)
        if (k != i)
          cr_expect_eq (mq_relay_calls_sent (members[k].relay), sent[k],
                        "a write of member %d, at member %d", i, k);
    }
}
