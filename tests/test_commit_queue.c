/* test_commit_queue.c - writes that share a transaction.

   Needs: Criterion, commit_queue.h, rows_server.h.  */

#include "../platform/standins/rows_server.h"
#include "router/commit_queue.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

/* Who is at fault for a conflict.  */
struct fault_case
{
  const char *what;
  uint64_t asked[3]; /* versions that the writes expect */
  uint64_t there[3]; /* versions that the table told, 0: no such row */
  bool faults[3];
};

Test (commit_queue, faults)
{
  static const char *const keys[] = { "a", "b", "c" };
  static const struct fault_case cases[] = {
    { "one is newer", { 5, 6, 7 }, { 5, 9, 7 }, { false, true, false } },
    { "one is there", { 0, 6, 7 }, { 3, 6, 7 }, { true, false, false } },
    { "one is gone", { 5, 6, 0 }, { 0, 6, 0 }, { true, false, false } },
    { "two", { 5, 6, 7 }, { 8, 6, 9 }, { true, false, true } },
    { "no condition",
      { MQ_VERSION_ANY, 6, 7 },
      { 3, 8, 7 },
      { false, true, false } },
    { "none to be seen", { 5, 6, 7 }, { 5, 6, 7 }, { true, true, true } },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_rows_entry entries[3];
      struct mq_rows_entry rows[3];
      struct mq_rows_result result
          = { .status = MQ_STORE_CONFLICT, .rows = rows };
      bool faults[3];

      for (size_t k = 0; k < 3; k++)
        {
          entries[k] = (struct mq_rows_entry){ .table = "t",
                                               .part = "p",
                                               .key = keys[k],
                                               .version = cases[i].asked[k] };
          if (cases[i].there[k] != 0)
            rows[result.row_count++]
                = (struct mq_rows_entry){ .table = "t",
                                          .part = "p",
                                          .key = keys[k],
                                          .version = cases[i].there[k] };
        }
      (void)mq_commit_faults (entries, 3, &result, faults);
      for (size_t k = 0; k < 3; k++)
        cr_expect_eq (faults[k], cases[i].faults[k], "%s: %zu", cases[i].what,
                      k);
    }
}

/* Against a table */

#define WRITES 20

struct outcome
{
  int told;
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

  outcome->told++;
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
  int told = 0;

  while (told < count)
    {
      told = 0;
      tevent_loop_once (ev);
      for (int i = 0; i < WRITES; i++)
        told += outcomes[i].told;
    }
}

/* Writes that come while one is under way go together with the next.  */
Test (commits, gathered)
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

/* One write's condition fails: it alone is told so, with its row.  */
Test (commits, a_conflict_is_nobody_elses)
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
    cr_expect_eq (outcomes[i].told, 1);
}

/* Two writes to one row never share a transaction.  */
Test (commits, one_row_once)
{
  write_row (0, "p", "first", MQ_VERSION_ANY);
  write_row (1, "p", "same", MQ_VERSION_ABSENT);
  write_row (2, "p", "same", MQ_VERSION_ANY);
  wait_for (3);
  for (int i = 0; i < 3; i++)
    cr_expect_eq (outcomes[i].status, MQ_STORE_OK);
  cr_expect_eq (rows_server_write_count (table), 3);
}

/* An answer is lost: each of those that went together is told that it may have
   been done.  */
Test (commits, lost_answer_is_told_to_each)
{
  rows_server_set_fault (table, ROWS_LOSE_REPLIES);
  write_row (0, "p", "first", MQ_VERSION_ABSENT);
  write_row (1, "p", "a", MQ_VERSION_ABSENT);
  write_row (2, "p", "b", MQ_VERSION_ABSENT);
  wait_for (3);
  for (int i = 0; i < 3; i++)
    cr_expect_eq (outcomes[i].status, MQ_STORE_LOST, "%d", i);
}

/* Nobody waits any more: before it is sent it is never done.  */
Test (commits, cancelled)
{
  struct mq_commit *sent = write_row (0, "p", "first", MQ_VERSION_ABSENT);
  struct mq_commit *waits = write_row (1, "p", "second", MQ_VERSION_ABSENT);

  write_row (2, "p", "third", MQ_VERSION_ABSENT);
  mq_commit_cancel (sent);
  mq_commit_cancel (waits);
  wait_for (1);
  cr_expect_eq (outcomes[2].status, MQ_STORE_OK);
  cr_expect_eq (outcomes[0].told + outcomes[1].told, 0);
  cr_expect_eq (rows_server_row_count (table, "t"), 2);
}
