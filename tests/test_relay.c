/* test_relay.c - messages and links between routing hosts.

   Needs: Criterion, relay.h, frame.h, listen.h.  */

#include "net/frame.h"
#include "net/listen.h"
#include "router/relay.h"
#include "net/timer.h"
#include "core/id.h"
#include <criterion/criterion.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

static struct mq_bytes
bytes (const char *text)
{
  return (struct mq_bytes){ (uint8_t *)(uintptr_t)text, strlen (text) };
}

static bool
same_bytes (struct mq_bytes a, struct mq_bytes b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

static void
expect_entries (const struct mq_rows_entry *a, const struct mq_rows_entry *b,
                size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      cr_expect_str_eq (a[i].table, b[i].table);
      cr_expect_str_eq (a[i].part, b[i].part);
      cr_expect_str_eq (a[i].key, b[i].key);
      cr_expect_eq (a[i].version, b[i].version);
      cr_expect (same_bytes (a[i].value, b[i].value));
      cr_expect_eq (a[i].remove, b[i].remove);
    }
}

static void
expect_workers (const struct mq_fleet_member *a,
                const struct mq_fleet_member *b, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      cr_expect_str_eq (a[i].id, b[i].id);
      cr_expect_str_eq (a[i].service, b[i].service);
      cr_expect_str_eq (a[i].address, b[i].address);
      cr_expect_str_eq (a[i].data_centre, b[i].data_centre);
      cr_expect_eq (a[i].slots, b[i].slots);
      cr_expect_eq (a[i].leaving, b[i].leaving);
      cr_expect_eq (a[i].born_ms, b[i].born_ms);
      cr_expect ((a[i].version == NULL) == (b[i].version == NULL));
      if (a[i].version != NULL && b[i].version != NULL)
        cr_expect_str_eq (a[i].version, b[i].version);
    }
}

static void
expect_wants (const struct mq_quota_request *a,
              const struct mq_quota_request *b, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      cr_expect_str_eq (a[i].organisation, b[i].organisation);
      cr_expect_eq (a[i].need, b[i].need);
      cr_expect_eq (a[i].begins, b[i].begins);
      cr_expect_eq (a[i].ahead, b[i].ahead);
      cr_expect_eq (a[i].unused, b[i].unused);
      cr_expect_eq (a[i].surrendered, b[i].surrendered);
      cr_expect_eq (a[i].holds, b[i].holds);
      cr_expect_eq (a[i].begun, b[i].begun);
      cr_expect_eq (a[i].continued, b[i].continued);
      cr_expect_eq (a[i].program.further, b[i].program.further);
      cr_expect_eq (a[i].program.life_ms, b[i].program.life_ms);
      cr_expect_eq (a[i].single, b[i].single);
    }
}

static void
expect_gifts (const struct mq_quota_grant *a, const struct mq_quota_grant *b,
              size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      cr_expect_str_eq (a[i].organisation, b[i].organisation);
      cr_expect_eq (a[i].unknown, b[i].unknown);
      cr_expect_eq (a[i].need, b[i].need);
      cr_expect_eq (a[i].begins, b[i].begins);
      cr_expect_eq (a[i].ahead, b[i].ahead);
      cr_expect_eq (a[i].retry_ms, b[i].retry_ms);
      cr_expect_eq (a[i].empty, b[i].empty);
      cr_expect_eq (a[i].standing, b[i].standing);
      cr_expect_eq (a[i].standing_ms, b[i].standing_ms);
      cr_expect_eq (a[i].between_ms, b[i].between_ms);
    }
}

static void
expect_loan_reply (const struct mq_relay_loan_reply *a,
                   const struct mq_relay_loan_reply *b)
{
  cr_expect_eq (a->id, b->id);
  cr_expect_str_eq (a->program, b->program);
  cr_expect_eq (a->tokens, b->tokens);
  cr_expect_eq (a->issue_forbidden, b->issue_forbidden);
  cr_expect_str_eq (a->turn, b->turn);
  cr_expect (same_bytes (a->history, b->history));
  cr_expect_eq (a->home, b->home);
  cr_expect_eq (a->home_full, b->home_full);
  cr_expect (same_bytes (a->record, b->record));
  cr_expect_eq (a->record_version, b->record_version);
}

static void
expect_evidence (const struct mq_evidence_report *a,
                 const struct mq_evidence_report *b)
{
  cr_expect_eq (a->host, b->host);
  cr_expect_eq (a->run, b->run);
  cr_expect_eq (a->serial, b->serial);
  cr_expect_eq (a->used, b->used);
  cr_expect_eq (a->doubted, b->doubted);
  cr_assert_eq (a->count, b->count);
  for (size_t i = 0; i < a->count; i++)
    {
      cr_expect_eq (a->sightings[i].worker, b->sightings[i].worker);
      cr_expect_eq (a->sightings[i].kind, b->sightings[i].kind);
      cr_expect_eq (a->sightings[i].age_ms, b->sightings[i].age_ms);
    }
}

static void
expect_run_ends (const struct mq_relay_run_ends *a,
                 const struct mq_relay_run_ends *b)
{
  cr_expect_eq (a->wanted, b->wanted);
  cr_expect_str_eq (a->address, b->address);
  cr_expect_eq (a->written_s, b->written_s);
  cr_expect_eq (a->written_ms, b->written_ms);
  cr_assert_eq (a->count, b->count);
  for (size_t i = 0; i < a->count; i++)
    {
      const struct mq_suspects_end *x = &a->ends[i];
      const struct mq_suspects_end *y = &b->ends[i];

      cr_expect (mq_id_equal (x->work, y->work));
      cr_expect_eq (x->worker, y->worker);
      cr_expect_eq (x->worker_id, y->worker_id);
      cr_expect_eq (x->ran_ms, y->ran_ms);
      cr_expect_eq (x->age_ms, y->age_ms);
      cr_expect_eq (x->state, y->state);
      cr_expect_eq (x->lost, y->lost);
    }
}

static void
expect_same (const struct mq_relay_frame *a, const struct mq_relay_frame *b)
{
  cr_assert_eq (a->kind, b->kind);
  switch (a->kind)
    {
    case MQ_RELAY_CALL_REQUEST:
      cr_expect_eq (a->u.call_request.id, b->u.call_request.id);
      cr_expect_eq (a->u.call_request.commit, b->u.call_request.commit);
      cr_assert_eq (a->u.call_request.count, b->u.call_request.count);
      expect_entries (a->u.call_request.entries, b->u.call_request.entries,
                      a->u.call_request.count);
      return;
    case MQ_RELAY_CALL_REPLY:
      cr_expect_eq (a->u.call_reply.id, b->u.call_reply.id);
      cr_expect_eq (a->u.call_reply.result.status,
                    b->u.call_reply.result.status);
      cr_expect_eq (a->u.call_reply.result.version,
                    b->u.call_reply.result.version);
      cr_assert_eq (a->u.call_reply.result.row_count,
                    b->u.call_reply.result.row_count);
      expect_entries (a->u.call_reply.result.rows, b->u.call_reply.result.rows,
                      a->u.call_reply.result.row_count);
      return;
    case MQ_RELAY_SYNC:
      cr_expect_eq (a->u.sync.config_version, b->u.sync.config_version);
      cr_expect_eq (a->u.sync.workers_digest, b->u.sync.workers_digest);
      return;
    case MQ_RELAY_STATE:
      cr_expect (same_bytes (a->u.state.config, b->u.state.config));
      cr_expect_eq (a->u.state.same_workers, b->u.state.same_workers);
      cr_assert_eq (a->u.state.worker_count, b->u.state.worker_count);
      expect_workers (a->u.state.workers, b->u.state.workers,
                      a->u.state.worker_count);
      return;
    case MQ_RELAY_LOAN_REQUEST:
      cr_expect_eq (a->u.loan_request.id, b->u.loan_request.id);
      cr_expect_str_eq (a->u.loan_request.program, b->u.loan_request.program);
      cr_expect_eq (a->u.loan_request.limit, b->u.loan_request.limit);
      cr_expect_eq (a->u.loan_request.tokens, b->u.loan_request.tokens);
      cr_expect_str_eq (a->u.loan_request.turn, b->u.loan_request.turn);
      cr_expect_eq (a->u.loan_request.may_issue, b->u.loan_request.may_issue);
      cr_expect_eq (a->u.loan_request.move, b->u.loan_request.move);
      return;
    case MQ_RELAY_LOAN_REPLY:
      expect_loan_reply (&a->u.loan_reply, &b->u.loan_reply);
      return;
    case MQ_RELAY_HANDOVER:
      expect_loan_reply (&a->u.handover, &b->u.handover);
      return;
    case MQ_RELAY_LOAN_RETURN:
      cr_expect_str_eq (a->u.loan_return.program, b->u.loan_return.program);
      cr_expect_eq (a->u.loan_return.tokens, b->u.loan_return.tokens);
      return;
    case MQ_RELAY_QUOTA_REQUEST:
      cr_expect_eq (a->u.quota_request.id, b->u.quota_request.id);
      cr_expect_eq (a->u.quota_request.run_id, b->u.quota_request.run_id);
      cr_expect_eq (a->u.quota_request.acked_ms, b->u.quota_request.acked_ms);
      cr_expect_eq (a->u.quota_request.issuer_run_id,
                    b->u.quota_request.issuer_run_id);
      cr_expect_eq (a->u.quota_request.listed, b->u.quota_request.listed);
      cr_expect_eq (a->u.quota_request.recalled, b->u.quota_request.recalled);
      cr_assert_eq (a->u.quota_request.want_count,
                    b->u.quota_request.want_count);
      expect_wants (a->u.quota_request.wants, b->u.quota_request.wants,
                    a->u.quota_request.want_count);
      return;
    case MQ_RELAY_QUOTA_REPLY:
      cr_expect_eq (a->u.quota_reply.id, b->u.quota_reply.id);
      cr_expect_eq (a->u.quota_reply.issuer_run_id,
                    b->u.quota_reply.issuer_run_id);
      cr_expect_eq (a->u.quota_reply.sent_ms, b->u.quota_reply.sent_ms);
      cr_assert_eq (a->u.quota_reply.gift_count, b->u.quota_reply.gift_count);
      expect_gifts (a->u.quota_reply.gifts, b->u.quota_reply.gifts,
                    a->u.quota_reply.gift_count);
      return;
    case MQ_RELAY_QUOTA_RECALL:
      cr_expect_eq (a->u.quota_recall.issuer_run_id,
                    b->u.quota_recall.issuer_run_id);
      cr_expect_str_eq (a->u.quota_recall.address, b->u.quota_recall.address);
      return;
    case MQ_RELAY_EVIDENCE:
      expect_evidence (&a->u.evidence, &b->u.evidence);
      return;
    case MQ_RELAY_RUN_ENDS:
      expect_run_ends (&a->u.run_ends, &b->u.run_ends);
      return;
    case MQ_RELAY_LEASE:
      cr_expect_eq (a->u.lease_handover.slot, b->u.lease_handover.slot);
      cr_expect_eq (a->u.lease_handover.version, b->u.lease_handover.version);
      cr_expect (
          same_bytes (a->u.lease_handover.row, b->u.lease_handover.row));
      return;
    case MQ_RELAY_UNKNOWN:
      cr_assert_fail ("a frame of our own is not known");
    }
}

/* All fields survive packing and unpacking.  A lost version or condition would
   let one write overwrite another.  */
Test (relay, frames_round_trip)
{
  struct mq_rows_entry entries[] = {
    { .table = "budget",
      .part = "0f",
      .key = "p1",
      .version = 7,
      .value = bytes ("value") },
    { .table = "turn",
      .part = "",
      .key = "t1",
      .version = MQ_VERSION_ANY,
      .remove = true },
  };
  struct mq_fleet_member workers[] = {
    { .id = "i-1",
      .service = "llm",
      .address = "127.0.0.1:1",
      .data_centre = "a",
      .version = "v1",
      .slots = 4,
      .born_ms = 1772230200004 },
    { .id = "i-3",
      .service = "llm",
      .address = "127.0.0.1:3",
      .data_centre = "a",
      .version = "",
      .slots = 4 },
    { .id = "i-2",
      .service = "app",
      .address = "127.0.0.1:2",
      .data_centre = "b",
      .slots = UINT32_MAX,
      .leaving = true },
  };
  struct mq_quota_request wants[] = {
    { .organisation = "acme",
      .need = 1,
      .begins = 2,
      .ahead = 3,
      .unused = 4,
      .surrendered = 5,
      .holds = 6,
      .begun = 7,
      .continued = 8,
      .program = { 9, 10 },
      .single = 11 },
    { .organisation = "bolt" },
  };
  struct mq_quota_grant gifts[] = {
    { .organisation = "acme",
      .need = 1,
      .begins = 2,
      .ahead = 3,
      .retry_ms = 4,
      .empty = true,
      .standing = 5,
      .standing_ms = 6,
      .between_ms = 7 },
    { .organisation = "bolt", .unknown = true },
  };
  struct mq_evidence_sighting sightings[] = {
    { .worker = UINT64_MAX, .kind = MQ_EVIDENCE_SILENT, .age_ms = 600 },
    { .worker = 1, .kind = MQ_EVIDENCE_ANSWERS },
    { .worker = 2, .kind = MQ_EVIDENCE_KINDS, .age_ms = UINT32_MAX },
  };
  struct mq_suspects_end ends[] = {
    { .work = { 1, UINT64_MAX },
      .worker = 2,
      .worker_id = 3,
      .ran_ms = 4,
      .age_ms = 5,
      .state = MQ_SUSPECTS_ENDED,
      .lost = true },
    { .work = { 6, 7 }, .state = MQ_SUSPECTS_STATES },
  };
  struct mq_relay_frame frames[] = {
    { .kind = MQ_RELAY_RUN_ENDS,
      .u.run_ends = { .address = "",
                      .ends = ends,
                      .count = 2,
                      .written_s = 9,
                      .written_ms = 9001 } },
    { .kind = MQ_RELAY_RUN_ENDS,
      .u.run_ends = { .wanted = true, .address = "a:1" } },
    { .kind = MQ_RELAY_LEASE,
      .u.lease_handover = { .slot = 31,
                            .version = UINT64_MAX,
                            .row = { (uint8_t *)"ab\0c", 4 } } },
    { .kind = MQ_RELAY_EVIDENCE,
      .u.evidence = { .host = 1,
                      .run = 2,
                      .serial = 3,
                      .used = 4,
                      .doubted = 5,
                      .sightings = sightings,
                      .count = 3 } },
    { .kind = MQ_RELAY_EVIDENCE, .u.evidence = { .host = 1 } },
    { .kind = MQ_RELAY_QUOTA_REQUEST,
      .u.quota_request = { .id = 1,
                           .run_id = 2,
                           .acked_ms = 3,
                           .issuer_run_id = 4,
                           .wants = wants,
                           .want_count = 2,
                           .listed = true,
                           .recalled = true } },
    { .kind = MQ_RELAY_QUOTA_RECALL,
      .u.quota_recall = { .issuer_run_id = 7, .address = "a:1" } },
    { .kind = MQ_RELAY_QUOTA_REPLY,
      .u.quota_reply = { .id = 1,
                         .issuer_run_id = 2,
                         .sent_ms = 3,
                         .gifts = gifts,
                         .gift_count = 2 } },
    { .kind = MQ_RELAY_CALL_REQUEST,
      .u.call_request
      = { .id = 1, .commit = true, .entries = entries, .count = 2 } },
    { .kind = MQ_RELAY_CALL_REQUEST,
      .u.call_request = { .id = UINT64_MAX, .entries = entries, .count = 1 } },
    { .kind = MQ_RELAY_CALL_REPLY,
      .u.call_reply = { .id = 2,
                        .result = { .status = MQ_STORE_CONFLICT,
                                    .version = 9,
                                    .rows = entries,
                                    .row_count = 2 } } },
    { .kind = MQ_RELAY_CALL_REPLY,
      .u.call_reply = { .id = 3, .result = { .status = MQ_STORE_LOST } } },
    { .kind = MQ_RELAY_SYNC, .u.sync = { 12, UINT64_MAX } },
    { .kind = MQ_RELAY_STATE,
      .u.state = { .config = bytes ("config"),
                   .workers = workers,
                   .worker_count = 2 } },
    { .kind = MQ_RELAY_STATE, .u.state = { .same_workers = true } },
    { .kind = MQ_RELAY_LOAN_REQUEST,
      .u.loan_request = { .id = 4,
                          .program = "p1",
                          .limit = 900,
                          .tokens = 288,
                          .turn = "t1",
                          .may_issue = true } },
    { .kind = MQ_RELAY_LOAN_REQUEST,
      .u.loan_request = { .program = "p1", .turn = "", .move = true } },
    { .kind = MQ_RELAY_LOAN_REPLY,
      .u.loan_reply = { .id = 4,
                        .program = "p1",
                        .tokens = 288,
                        .turn = "t1",
                        .history = bytes ("history") } },
    { .kind = MQ_RELAY_LOAN_REPLY,
      .u.loan_reply
      = { .id = 5, .program = "", .issue_forbidden = true, .turn = "" } },
    { .kind = MQ_RELAY_LOAN_RETURN, .u.loan_return = { "p1", 200 } },
    { .kind = MQ_RELAY_HANDOVER,
      .u.handover = { .program = "p1",
                      .tokens = 288,
                      .turn = "",
                      .home = 9,
                      .home_full = true,
                      .record = bytes ("record"),
                      .record_version = 12 } },
  };
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (size_t i = 0; i < ROWS (frames); i++)
    {
      struct mq_bytes packed = mq_relay_frame_pack (ctx, &frames[i]);
      struct mq_relay_frame *read
          = mq_relay_frame_unpack (ctx, packed.data + MQ_FRAME_HEADER_BYTES,
                                   packed.len - MQ_FRAME_HEADER_BYTES);

      cr_assert_not_null (read, "%zu", i);
      expect_same (&frames[i], read);
    }
  talloc_free (ctx);
}

/* Packing a frame allocates nothing but the returned bytes below the context;
   otherwise every reply would leak memory.  */
Test (relay, packing_does_not_leak)
{
  static struct mq_fleet_member workers[100];
  static struct mq_rows_entry entries[2]
      = { { .table = "a" }, { .table = "b" } };
  const struct mq_relay_frame frames[] = {
    { .kind = MQ_RELAY_CALL_REQUEST,
      .u.call_request = { .entries = entries, .count = 2 } },
    { .kind = MQ_RELAY_CALL_REPLY,
      .u.call_reply = { .result = { .row_count = 0 } } },
    { .kind = MQ_RELAY_CALL_REPLY,
      .u.call_reply = { .result = { .rows = entries, .row_count = 2 } } },
    { .kind = MQ_RELAY_SYNC, .u.sync = { 12, 0 } },
    { .kind = MQ_RELAY_STATE,
      .u.state = { .workers = workers, .worker_count = ROWS (workers) } },
    { .kind = MQ_RELAY_LOAN_REQUEST,
      .u.loan_request = { .program = "p1", .turn = "t1" } },
    { .kind = MQ_RELAY_UNKNOWN },
  };
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (size_t i = 0; i < ROWS (frames); i++)
    {
      struct mq_bytes packed = mq_relay_frame_pack (ctx, &frames[i]);

      talloc_free (packed.data);
      cr_expect_eq (talloc_total_blocks (ctx), 1, "%zu: %zu bytes stay", i,
                    talloc_total_size (ctx));
      talloc_free_children (ctx);
    }
  talloc_free (ctx);
}

/* During a rolling upgrade, a newer host may send unknown messages or status
   values.  Neither may end the link, and an unknown status must not be taken
   as "not executed".  */
Test (relay, newer_and_damaged_frames)
{
  static const struct
  {
    const char *name;
    const char *data;
    size_t len;
    bool read;
    enum mq_relay_kind kind;
  } cases[] = {
    { "nothing", "", 0, true, MQ_RELAY_UNKNOWN },
    { "unknown kind", "\x7a\x02\x08\x01", 4, true, MQ_RELAY_UNKNOWN },
    { "unknown outcome", "\x12\x04\x08\x05\x10\x63", 6, true,
      MQ_RELAY_CALL_REPLY },
    { "a call without rows", "\x0a\x02\x08\x05", 4, false, MQ_RELAY_UNKNOWN },
    { "cut", "\x0a\x09\x08\x05", 4, false, MQ_RELAY_UNKNOWN },
    { "no message", "\xff\xff\xff", 3, false, MQ_RELAY_UNKNOWN },
  };
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_relay_frame *frame = mq_relay_frame_unpack (
          ctx, (const uint8_t *)cases[i].data, cases[i].len);

      cr_assert_eq (frame != NULL, cases[i].read, "%s", cases[i].name);
      if (frame == NULL)
        continue;
      cr_assert_eq (frame->kind, cases[i].kind, "%s", cases[i].name);
      if (frame->kind == MQ_RELAY_CALL_REPLY)
        cr_assert_eq (frame->u.call_reply.result.status, MQ_STORE_LOST);
    }
  talloc_free (ctx);
}

/**
 * struct timeout_case - a loan request, after which this host is blocked for
 *                       longer than the timeout
 * @connected: the link is established before
 * @answers: the reply arrives meanwhile
 * @runs_loop: this host runs its event loop before the next request
 * @requests: number of hosts that get the next request
 */
struct timeout_case
{
  const char *name;
  bool connected;
  bool answers;
  bool runs_loop;
  uint32_t requests;
};

static const struct timeout_case timeout_cases[] = {
  { "answered", true, true, false, 1 },
  { "answered, loop runs", true, true, true, 1 },
  /* The timeout is detected once this host runs its event loop.  */
  { "silent", true, false, false, 1 },
  { "silent, loop runs", true, false, true, 0 },
  { "connection not processed", false, false, false, 1 },
};

static void
on_loan_reply (const struct mq_relay_loan_reply *reply, const char *address,
               void *user)
{
  (void)reply;
  (void)address;
  (void)user;
}

/* Runs the loop until the request arrives at the other host, and reads part of
   it.  */
static void
receive_request (struct tevent_context *ev, int fd)
{
  struct pollfd ready = { .fd = fd, .events = POLLIN };
  char bytes[512];

  while (poll (&ready, 1, 0) == 0)
    tevent_loop_once (ev);
  cr_assert_gt (recv (fd, bytes, sizeof bytes, 0), 0);
}

static void
on_waited (void *data)
{
  bool *done = data;

  *done = true;
}

/* Runs the loop until all timers that are due have run.  */
static void
run_due_timers (struct tevent_context *ev)
{
  bool done = false;

  mq_timer_add (ev, ev, 1, on_waited, &done);
  while (!done)
    tevent_loop_once (ev);
}

static void
run_timeout_case (const struct timeout_case *row)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  struct mq_relay_owner owner = { .loan_reply = on_loan_reply };
  struct mq_relay_loan_request request
      = { .id = 1, .program = "p", .limit = 9, .tokens = 1, .turn = "" };
  struct mq_relay_frame reply
      = { .kind = MQ_RELAY_LOAN_REPLY,
          .u.loan_reply = { .id = 1, .program = "p", .turn = "" } };
  struct mq_bytes frame = mq_relay_frame_pack (ev, &reply);
  int other = mq_listen_open ("127.0.0.1:0", NULL);
  struct pollfd listener = { .fd = other, .events = POLLIN };
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_relay *relay;
  char address[32];
  int fd;

  snprintf (address, sizeof address, "127.0.0.1:%u", mq_listen_port (other));
  relay = mq_relay_create (ev, ev, "127.0.0.1:0",
                           mq_rows_create (ev, ev, address), &owner, &error);
  cr_assert_not_null (relay);
  mq_relay_add_seed (relay, address);
  cr_assert_eq (mq_relay_request_loan (relay, &request, false), 1);
  cr_assert_eq (poll (&listener, 1, 20000), 1);
  fd = accept (other, NULL, NULL);
  if (row->connected)
    receive_request (ev, fd);
  if (row->answers)
    cr_assert_eq (send (fd, frame.data, frame.len, MSG_NOSIGNAL),
                  (ssize_t)frame.len);
  usleep ((MQ_RELAY_LOAN_TIMEOUT_MS + 20) * 1000);
  if (row->runs_loop)
    run_due_timers (ev);
  cr_expect_eq (mq_relay_request_loan (relay, &request, false), row->requests,
                "%s", row->name);
  mq_relay_destroy (relay);
  talloc_free (ev);
  close (fd);
  close (other);
}

/* A reply or connection that arrived while this host was blocked, and is still
   unread, must not start the backoff: turns would be refused although the
   lender answered in time.  */
Test (relay, unread_reply_is_no_timeout)
{
  for (size_t i = 0; i < ROWS (timeout_cases); i++)
    run_timeout_case (&timeout_cases[i]);
}

static void
on_evidence (const struct mq_evidence_report *report, void *user)
{
  uint64_t *worker = user;

  cr_assert_eq (report->count, 1);
  *worker = report->sightings[0].worker;
}

static struct mq_relay *
make_relay (struct tevent_context *ev, uint64_t *worker)
{
  struct mq_relay_owner owner = { .evidence = on_evidence, .user = worker };
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_relay *relay = mq_relay_create (
      ev, ev, "127.0.0.1:0", mq_rows_create (ev, ev, "127.0.0.1:1"), &owner,
      &error);

  cr_assert_not_null (relay);
  return relay;
}

/* Lists HOSTS hosts in another data centre, at addresses that nobody uses, and
   NEAR in this one.  */
static void
list_hosts (struct mq_relay *relay, uint32_t hosts, const char *near)
{
  mq_relay_list_begin (relay);
  for (uint32_t i = 0; i < hosts; i++)
    {
      char address[32];

      snprintf (address, sizeof address, "127.0.%u.%u:1", 1 + i / 200,
                1 + i % 200);
      mq_relay_list_host (relay, &(struct mq_relay_listing){
                                     .address = address, .data_centre = "b" });
    }
  if (near != NULL)
    mq_relay_list_host (relay, &(struct mq_relay_listing){ .address = near,
                                                           .data_centre = "a",
                                                           .near = true });
  mq_relay_list_end (relay);
}

/* Failure: where hosts are many, each tells all others what it sees of
   workers, or not those next to it.  */
Test (relay, evidence_goes_to_some_hosts)
{
  static const struct
  {
    const char *name;
    uint32_t others;
    bool near;
    uint32_t receivers;
  } rows[] = {
    { "alone", 0, false, 0 },
    { "one", 0, true, 1 },
    { "some", 9, true, 10 },
    { "many, the near one among them", 300, true,
      MQ_RELAY_EVIDENCE_HOSTS_MAX },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct tevent_context *ev = tevent_context_init (NULL);
      uint64_t heard = 0;
      struct mq_relay *relay = make_relay (ev, NULL);
      struct mq_relay *other = make_relay (ev, &heard);
      const char *address = mq_relay_address (other);
      struct mq_evidence_sighting sighting = { 7, MQ_EVIDENCE_SILENT, 600 };
      struct mq_evidence_report report
          = { .host = 1, .sightings = &sighting, .count = 1 };

      list_hosts (relay, rows[i].others, rows[i].near ? address : NULL);
      cr_expect_eq (mq_relay_evidence_hosts (relay), rows[i].receivers, "%s",
                    rows[i].name);
      cr_expect_eq (mq_relay_send_evidence (relay, &report), rows[i].receivers,
                    "%s", rows[i].name);
      while (rows[i].near && heard == 0)
        tevent_loop_once (ev);
      cr_expect_eq (heard, rows[i].near ? 7 : 0, "%s", rows[i].name);
      cr_expect_eq (
          mq_relay_evidence_address (relay, mq_relay_evidence_name (address))
              != NULL,
          rows[i].near, "%s", rows[i].name);
      mq_relay_destroy (relay);
      mq_relay_destroy (other);
      talloc_free (ev);
    }
}
