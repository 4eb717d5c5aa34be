/* test_evidence.c - what hosts tell each other of workers that don't answer.

   Needs: Criterion, evidence.h, fleet.h, id.h, relay_frame.h.  */

#include "core/router/evidence.h"
#include "core/id.h"
#include "core/router/fleet.h"
#include "router/relay_frame.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
/* This host, and others.  */
#define OWN 100U
#define HOST_A 1U
#define HOST_B 2U
/* Workers known here.  */
#define KNOWN 55U
#define WORKER 7U
#define START_MS 100000U
#define AGE_MS 600U

static enum mq_evidence_verdict
tell (struct mq_evidence *evidence, uint64_t host, uint64_t serial,
      enum mq_evidence_kind kind, uint32_t age_ms, uint64_t now_ms)
{
  struct mq_evidence_sighting sighting = { WORKER, kind, age_ms };
  struct mq_evidence_report report = { .host = host,
                                       .run = host,
                                       .serial = serial,
                                       .used = 20,
                                       .doubted = 2,
                                       .sightings = &sighting,
                                       .count = 1 };

  return mq_evidence_receive (evidence, &report, KNOWN, now_ms);
}

/* What another host tells at AT_MS after START_MS.  */
struct told
{
  uint32_t at_ms;
  uint64_t host;
  uint64_t serial;
  enum mq_evidence_kind kind;
  uint32_t age_ms;
  enum mq_evidence_verdict verdict;
};

#define TOLD_MAX 6U

/* Failure: what was told of a worker counts for too long, for too much, or
   after it has been contradicted.  */
Test (evidence, told_doubt_ends)
{
  static const struct
  {
    const char *name;
    struct told told[TOLD_MAX];
    uint32_t at_ms;
    int heard_ms; /* after START_MS, 0 if never */
    uint32_t doubts;
  } rows[] = {
    { "nothing was told", { { 0 } }, 10, 0, 0 },
    { "one host",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      1 },
    { "lost",
      { { 1, HOST_A, 1, MQ_EVIDENCE_LOST, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      1 },
    { "heard before the request was sent",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      -(int)AGE_MS,
      1 },
    { "heard later",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      5,
      0 },
    { "heard later, two hosts",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      5,
      0 },
    { "two hosts",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      2 },
    { "one host twice",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_A, 2, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      1 },
    { "answers again",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 3, HOST_B, 2, MQ_EVIDENCE_ANSWERS, 0, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      0 },
    { "an earlier answer",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_ANSWERS, 2 * AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      1 },
    { "doubt that comes after the answer to it",
      { { 1, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 2, MQ_EVIDENCE_ANSWERS, 0, MQ_EVIDENCE_TAKEN },
        { 3, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      0 },
    { "the same message twice",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_A, 2, MQ_EVIDENCE_ANSWERS, 0, MQ_EVIDENCE_TAKEN },
        { 3, HOST_A, 1, MQ_EVIDENCE_SILENT, 0, MQ_EVIDENCE_OLD } },
      10,
      0,
      0 },
    { "a kind of a newer release",
      { { 1, HOST_A, 1, MQ_EVIDENCE_KINDS, AGE_MS, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      0 },
    { "an age out of range",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, MQ_EVIDENCE_AGE_MAX_MS + 1,
          MQ_EVIDENCE_INVALID } },
      10,
      0,
      0 },
    { "this host's own",
      { { 1, OWN, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_INVALID } },
      10,
      0,
      0 },
    { "no host",
      { { 1, 0, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_INVALID } },
      10,
      0,
      0 },
    { "a late request of one host",
      { { 1, HOST_A, 1, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN } },
      10,
      0,
      0 },
    { "late requests of one host",
      { { 1, HOST_A, 1, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN },
        { 2000, HOST_A, 2, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN } },
      2010,
      0,
      0 },
    { "late requests of two hosts, the worker answers others",
      { { 1, HOST_A, 1, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN },
        { 3, HOST_A, 2, MQ_EVIDENCE_ANSWERS, 0, MQ_EVIDENCE_TAKEN } },
      10,
      5,
      2 },
    { "late requests of two hosts, long ago",
      { { 1, HOST_A, 1, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_LATE, 0, MQ_EVIDENCE_TAKEN } },
      2 + 2 * MQ_EVIDENCE_TTL_MS,
      0,
      0 },
    { "late requests of two hosts, told long after",
      { { 1, HOST_A, 1, MQ_EVIDENCE_LATE, 2 * MQ_EVIDENCE_TTL_MS,
          MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_LATE, 2 * MQ_EVIDENCE_TTL_MS,
          MQ_EVIDENCE_TAKEN } },
      10,
      0,
      0 },
    { "one host alone, for long",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2000, HOST_A, 2, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 4000, HOST_A, 3, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      4100,
      0,
      0 },
    { "two hosts, for long",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2000, HOST_B, 2, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 4000, HOST_A, 3, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      4100,
      0,
      2 },
    { "two hosts that are silent then",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      2 + 2 * MQ_EVIDENCE_TTL_MS,
      0,
      0 },
    { "one host that is silent then, before it fades",
      { { 1, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN },
        { 2, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, MQ_EVIDENCE_TAKEN } },
      MQ_EVIDENCE_TTL_MS - 1,
      0,
      2 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
      uint64_t heard_ms
          = rows[i].heard_ms == 0
                ? 0
                : (uint64_t)((int64_t)START_MS + rows[i].heard_ms);

      for (size_t n = 0; n < TOLD_MAX && rows[i].told[n].at_ms != 0; n++)
        {
          const struct told *told = &rows[i].told[n];

          cr_expect_eq (tell (evidence, told->host, told->serial, told->kind,
                              told->age_ms, START_MS + told->at_ms),
                        told->verdict, "%s: message %zu", rows[i].name, n);
        }
      cr_expect_eq (mq_evidence_doubts (evidence, WORKER, heard_ms,
                                        START_MS + rows[i].at_ms),
                    rows[i].doubts, "%s", rows[i].name);
      mq_evidence_destroy (evidence);
    }
}

/* Failure: a host that tells one worker again and again keeps it from requests
   of hosts that seldom hear of it.  */
Test (evidence, one_host_leaves_pauses)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  uint32_t doubted = 0;
  uint32_t longest = 0;
  uint32_t length = 0;

  for (uint32_t at = 0; at < 60000; at += 100)
    {
      uint64_t now = START_MS + at;

      tell (evidence, HOST_A, at + 1, MQ_EVIDENCE_SILENT, AGE_MS, now);
      length = mq_evidence_doubts (evidence, WORKER, 0, now) > 0 ? length + 100
                                                                 : 0;
      if (length > 0)
        doubted += 100;
      if (length > longest)
        longest = length;
    }
  cr_expect_leq (longest, MQ_EVIDENCE_ALONE_MS);
  cr_expect_leq (doubted, 60000 / 3 + MQ_EVIDENCE_ALONE_MS);
  mq_evidence_destroy (evidence);
}

/* Failure: a host that is cut off, or slow itself, doubts all workers, and the
   others believe it.  */
Test (evidence, host_that_is_cut_off)
{
  static const struct
  {
    const char *name;
    uint32_t used;
    uint32_t doubted;
    size_t accused;
    size_t known;
    enum mq_evidence_verdict verdict;
  } rows[] = {
    { "few", 20, 3, 3, KNOWN, MQ_EVIDENCE_TAKEN },
    { "half", 20, 10, 10, KNOWN, MQ_EVIDENCE_TAKEN },
    { "most, as it says", 20, 11, 11, KNOWN, MQ_EVIDENCE_CUT_OFF },
    { "its only one", 1, 1, 1, KNOWN, MQ_EVIDENCE_CUT_OFF },
    { "most, and it says few", 200, 10, 10, 19, MQ_EVIDENCE_CUT_OFF },
    { "more than it uses", 20, 21, 3, KNOWN, MQ_EVIDENCE_INVALID },
    { "too many", 200, 17, 17, KNOWN, MQ_EVIDENCE_INVALID },
    { "nothing", 20, 0, 0, KNOWN, MQ_EVIDENCE_INVALID },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
      struct mq_evidence_sighting sightings[MQ_EVIDENCE_SIGHTINGS_MAX + 1];
      struct mq_evidence_report report = { .host = HOST_A,
                                           .run = 1,
                                           .serial = 1,
                                           .used = rows[i].used,
                                           .doubted = rows[i].doubted,
                                           .sightings = sightings,
                                           .count = rows[i].accused };
      bool taken = rows[i].verdict == MQ_EVIDENCE_TAKEN;

      for (size_t n = 0; n < rows[i].accused; n++)
        sightings[n] = (struct mq_evidence_sighting){
          .worker = 1000 + n, .kind = MQ_EVIDENCE_SILENT, .age_ms = AGE_MS
        };
      cr_expect_eq (
          mq_evidence_receive (evidence, &report, rows[i].known, START_MS),
          rows[i].verdict, "%s", rows[i].name);
      for (size_t n = 0; n < rows[i].accused; n++)
        cr_expect_eq (mq_evidence_doubts (evidence, 1000 + n, 0, START_MS + 1),
                      taken ? 1 : 0, "%s", rows[i].name);
      mq_evidence_destroy (evidence);
    }
}

/* Failure: a host that starts again counts as a second one, or what it tells
   is taken for late.  */
Test (evidence, host_that_started_again)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  struct mq_evidence_sighting sighting
      = { WORKER, MQ_EVIDENCE_SILENT, AGE_MS };
  struct mq_evidence_report report = { .host = HOST_A,
                                       .run = 1,
                                       .serial = 900,
                                       .used = 20,
                                       .doubted = 1,
                                       .sightings = &sighting,
                                       .count = 1 };

  cr_expect_eq (mq_evidence_receive (evidence, &report, KNOWN, START_MS),
                MQ_EVIDENCE_TAKEN);
  report.run = 2;
  report.serial = 1;
  cr_expect_eq (mq_evidence_receive (evidence, &report, KNOWN, START_MS + 1),
                MQ_EVIDENCE_TAKEN);
  cr_expect_eq (mq_evidence_doubts (evidence, WORKER, 0, START_MS + 2), 1);
  report.run = 1;
  report.serial = 901;
  cr_expect_eq (mq_evidence_receive (evidence, &report, KNOWN, START_MS + 2),
                MQ_EVIDENCE_OLD, "late, of the earlier run");
  cr_expect_eq (mq_evidence_receive (evidence, &report, KNOWN,
                                     START_MS + 1 + MQ_EVIDENCE_RUN_MS),
                MQ_EVIDENCE_TAKEN, "its clock was set back");
  mq_evidence_destroy (evidence);
}

/* Own sight */

/* What a scan sees of one worker among OTHERS that answer.  */
enum look
{
  LOOK_NOTHING,
  LOOK_WAITS,
  LOOK_LOST,
  LOOK_ANSWERED
};

static bool
scan_at (struct mq_evidence *evidence, enum look look, uint64_t since_ms,
         uint32_t others, uint32_t others_doubted, uint64_t now_ms,
         struct mq_evidence_report *report)
{
  mq_evidence_scan_begin (evidence, now_ms);
  for (uint32_t i = 0; i < others; i++)
    mq_evidence_scan_heard (evidence, 1000 + i, now_ms - 10);
  for (uint32_t i = 0; i < others_doubted; i++)
    mq_evidence_scan_doubted (evidence, 2000 + i, MQ_EVIDENCE_SILENT,
                              since_ms);
  switch (look)
    {
    case LOOK_WAITS:
      mq_evidence_scan_doubted (evidence, WORKER, MQ_EVIDENCE_SILENT,
                                since_ms);
      break;
    case LOOK_LOST:
      mq_evidence_scan_doubted (evidence, WORKER, MQ_EVIDENCE_LOST, since_ms);
      break;
    case LOOK_ANSWERED:
      mq_evidence_scan_heard (evidence, WORKER, since_ms);
      break;
    case LOOK_NOTHING:
      break;
    }
  return mq_evidence_scan_end (evidence, 30, report);
}

/* Failure: a host tells what is no change, or what its own delay explains.  */
Test (evidence, what_is_told)
{
  static const struct
  {
    const char *name;
    enum look looks[3]; /* each 50 ms later */
    uint32_t others;
    uint32_t others_doubted;
    size_t last_count; /* sightings told at the last look */
    enum mq_evidence_kind kind;
  } rows[] = {
    { "nothing", { LOOK_NOTHING, LOOK_NOTHING, LOOK_NOTHING }, 9, 0, 0, 0 },
    { "once only: answers may be unread",
      { LOOK_NOTHING, LOOK_NOTHING, LOOK_WAITS },
      9,
      0,
      0,
      0 },
    { "waits",
      { LOOK_NOTHING, LOOK_WAITS, LOOK_WAITS },
      9,
      0,
      1,
      MQ_EVIDENCE_SILENT },
    { "lost",
      { LOOK_NOTHING, LOOK_LOST, LOOK_LOST },
      9,
      0,
      1,
      MQ_EVIDENCE_LOST },
    { "told already", { LOOK_WAITS, LOOK_WAITS, LOOK_WAITS }, 9, 0, 0, 0 },
    { "answered before it was told",
      { LOOK_NOTHING, LOOK_WAITS, LOOK_ANSWERED },
      9,
      0,
      0,
      0 },
    { "answers again",
      { LOOK_WAITS, LOOK_WAITS, LOOK_ANSWERED },
      9,
      0,
      1,
      MQ_EVIDENCE_ANSWERS },
    { "most don't answer: this host is cut off",
      { LOOK_NOTHING, LOOK_WAITS, LOOK_WAITS },
      3,
      5,
      0,
      0 },
    { "no other is in use",
      { LOOK_NOTHING, LOOK_WAITS, LOOK_WAITS },
      0,
      0,
      0,
      0 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
      struct mq_evidence_report report = { .count = 0 };

      for (size_t n = 0; n < 3; n++)
        {
          uint64_t now = START_MS + 50 * n;

          report.count = 0;
          scan_at (evidence, rows[i].looks[n],
                   rows[i].looks[n] == LOOK_ANSWERED ? now : START_MS - AGE_MS,
                   rows[i].others, rows[i].others_doubted, now, &report);
        }
      cr_expect_eq (report.count, rows[i].last_count, "%s", rows[i].name);
      if (report.count > 0)
        cr_expect_eq (report.sightings[0].kind, rows[i].kind, "%s",
                      rows[i].name);
      mq_evidence_destroy (evidence);
    }
}

/* Failure: a worker that loses one request in a while is avoided, or one that
   loses many, here and elsewhere, is not.  */
Test (evidence, late_requests_here_and_elsewhere)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  struct mq_evidence_report report = { .count = 0 };

  mq_evidence_scan_begin (evidence, START_MS);
  for (uint32_t i = 0; i < 9; i++)
    mq_evidence_scan_heard (evidence, 1000 + i, START_MS);
  mq_evidence_scan_heard (evidence, WORKER, START_MS);
  mq_evidence_scan_late (evidence, WORKER, START_MS - 10);
  cr_expect (mq_evidence_scan_end (evidence, 30, &report));
  cr_expect_eq (report.count, 1);
  cr_expect_eq (report.sightings[0].kind, MQ_EVIDENCE_LATE);
  cr_expect_eq (report.sightings[0].age_ms, 10);
  cr_expect_eq (mq_evidence_doubts (evidence, WORKER, START_MS, START_MS), 0);
  tell (evidence, HOST_A, 1, MQ_EVIDENCE_LATE, 0, START_MS + 1);
  cr_expect_eq (mq_evidence_doubts (evidence, WORKER, START_MS, START_MS + 2),
                2);
  cr_expect_eq (mq_evidence_doubts (evidence, WORKER, START_MS,
                                    START_MS + MQ_EVIDENCE_TTL_MS),
                0);
  mq_evidence_destroy (evidence);
}

/* Failure: one message is lost, and the others never learn.  */
Test (evidence, doubt_that_goes_on_is_told_again)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  struct mq_evidence_report report;
  uint32_t told = 0;

  for (uint32_t at = 0; at < 3 * MQ_EVIDENCE_RENEW_MS; at += 50)
    if (scan_at (evidence, LOOK_WAITS, START_MS, 9, 0, START_MS + at, &report))
      told++;
  cr_expect_eq (told, 3);
  mq_evidence_destroy (evidence);
}

/* Failure: a host that others doubt wrongly is not defended by those that it
   answers.  */
Test (evidence, answer_to_the_doubt_of_another)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  struct mq_evidence_report report = { .count = 0 };

  tell (evidence, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, START_MS);
  cr_expect_not (scan_at (evidence, LOOK_ANSWERED, START_MS - 2 * AGE_MS, 9, 0,
                          START_MS + 50, &report));
  cr_expect (scan_at (evidence, LOOK_ANSWERED, START_MS + 60, 9, 0,
                      START_MS + 100, &report));
  cr_expect_eq (report.count, 1);
  cr_expect_eq (report.sightings[0].kind, MQ_EVIDENCE_ANSWERS);
  cr_expect_not (scan_at (evidence, LOOK_ANSWERED, START_MS + 110, 9, 0,
                          START_MS + 150, &report));
  mq_evidence_destroy (evidence);
}

/* Failure: all hosts tell the same.  */
Test (evidence, two_hosts_are_enough)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  struct mq_evidence_report report;

  tell (evidence, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, START_MS);
  tell (evidence, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, START_MS);
  for (uint32_t at = 50; at < 1000; at += 50)
    cr_expect_not (scan_at (evidence, LOOK_WAITS, START_MS - AGE_MS, 9, 0,
                            START_MS + at, &report));
  mq_evidence_destroy (evidence);
}

/* Failure: many workers flap, and what a host tells of them takes its link.
 */
Test (evidence, bytes_are_bounded)
{
  enum
  {
    SECONDS = 30,
    RECEIVERS = 32,
    FLAPPING = 200
  };
  struct mq_evidence *evidence
      = mq_evidence_create (NULL, UINT64_MAX, UINT64_MAX);
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint64_t bytes = 0;

  for (uint64_t now = START_MS; now < START_MS + SECONDS * 1000U; now += 50)
    {
      struct mq_relay_frame frame = { .kind = MQ_RELAY_EVIDENCE };

      mq_evidence_scan_begin (evidence, now);
      for (uint64_t n = 0; n < FLAPPING; n++)
        if ((now / 500 + n) % 2 == 0)
          mq_evidence_scan_doubted (evidence, UINT64_MAX - n,
                                    MQ_EVIDENCE_SILENT, now - 20000);
        else
          mq_evidence_scan_heard (evidence, UINT64_MAX - n, now);
      if (mq_evidence_scan_end (evidence, RECEIVERS, &frame.u.evidence))
        bytes += RECEIVERS * mq_relay_frame_pack (ctx, &frame).len;
    }
  cr_expect_leq (bytes,
                 MQ_EVIDENCE_BURST_BYTES + SECONDS * MQ_EVIDENCE_BYTES_PER_S);
  cr_expect_gt (bytes, 0);
  talloc_free (ctx);
  mq_evidence_destroy (evidence);
}

/* Failure: a log line for each message.  */
Test (evidence, changes_are_told_once)
{
  struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
  struct mq_evidence_change change;
  struct mq_evidence_report report;

  tell (evidence, HOST_A, 1, MQ_EVIDENCE_SILENT, AGE_MS, START_MS);
  tell (evidence, HOST_B, 1, MQ_EVIDENCE_SILENT, AGE_MS, START_MS);
  cr_assert (mq_evidence_next_change (evidence, &change));
  cr_expect (change.doubted);
  cr_expect_eq (change.host, HOST_B);
  cr_expect_eq (change.worker, WORKER);
  cr_expect_eq (change.age_ms, AGE_MS);
  cr_expect_not (mq_evidence_next_change (evidence, &change));
  scan_at (evidence, LOOK_NOTHING, 0, 9, 0, START_MS + 2 * MQ_EVIDENCE_TTL_MS,
           &report);
  cr_assert (mq_evidence_next_change (evidence, &change));
  cr_expect_not (change.doubted);
  cr_expect_eq (change.host, 0);
  cr_expect_not (mq_evidence_next_change (evidence, &change));
  mq_evidence_destroy (evidence);
}

/* Choice of workers */

static void
put_worker (struct mq_fleet *fleet, const char *id, uint64_t born_ms)
{
  struct mq_fleet_member member = { .id = id,
                                    .service = "s",
                                    .address = "127.0.0.1:1",
                                    .data_centre = "a",
                                    .slots = 6,
                                    .born_ms = born_ms };

  cr_assert (mq_fleet_put (fleet, &member, NULL));
}

/* Handle of the worker ID.  */
static uint32_t
handle_of (struct mq_fleet *fleet, const char *id)
{
  for (uint32_t i = 0;; i++)
    if (strcmp (mq_fleet_member (fleet, i)->id, id) == 0)
      return i;
}

static void
doubt_worker (struct mq_evidence *evidence, uint64_t host, uint64_t worker,
              uint64_t now_ms)
{
  struct mq_evidence_sighting sighting
      = { worker, MQ_EVIDENCE_SILENT, AGE_MS };
  struct mq_evidence_report report = { .host = host,
                                       .run = 1,
                                       .serial = now_ms,
                                       .used = 20,
                                       .doubted = 1,
                                       .sightings = &sighting,
                                       .count = 1 };

  cr_assert_eq (mq_evidence_receive (evidence, &report, KNOWN, now_ms),
                MQ_EVIDENCE_TAKEN);
}

/* Failure: a request that may not be repeated goes to a worker that another
   host saw hang; or a doubt leaves out a worker that has restarted, or that is
   needed.  */
Test (evidence, choice)
{
  static const struct
  {
    const char *name;
    bool once;
    bool alone;     /* the doubted worker is the only one */
    bool restarted; /* after the doubt */
    bool own_doubt; /* the other worker owes this host an answer */
    const char *chosen;
  } rows[] = {
    { "doubted", true, false, false, false, "busy" },
    { "repeatable", false, false, false, false, "doubted" },
    { "no other", true, true, false, false, "doubted" },
    { "restarted", true, false, true, false, "doubted" },
    { "own sight counts more", true, false, false, true, "doubted" },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_evidence *evidence = mq_evidence_create (NULL, OWN, 1);
      struct mq_fleet *fleet = mq_fleet_create (NULL);
      struct mq_fleet_query query = { .service = "s",
                                      .data_centre = "a",
                                      .once = rows[i].once,
                                      .objective_ms = 1000,
                                      .evidence = evidence,
                                      .now_ms = START_MS };
      uint32_t chosen;

      put_worker (fleet, "doubted", 1);
      doubt_worker (
          evidence, HOST_A,
          mq_fleet_instance_digest (fleet, handle_of (fleet, "doubted")),
          START_MS - 100);
      if (rows[i].restarted)
        put_worker (fleet, "doubted", 2);
      if (!rows[i].alone)
        {
          put_worker (fleet, "busy", 1);
          mq_fleet_record_load (fleet, handle_of (fleet, "busy"), 3, 0,
                                START_MS - 1);
        }
      if (rows[i].own_doubt)
        mq_fleet_request_started (fleet, handle_of (fleet, "busy"),
                                  START_MS - 3000);
      chosen = mq_fleet_choose (fleet, &query);
      cr_expect_str_eq (mq_fleet_member (fleet, chosen)->id, rows[i].chosen,
                        "%s", rows[i].name);
      mq_fleet_destroy (fleet);
      mq_evidence_destroy (evidence);
    }
}

/* Replay: hosts with few requests each, of which some workers hang.  */

#define HOSTS 31U
#define WORKERS 55U
#define HANGING 9U
#define HANG_MS 2000U
#define HANG_END_MS 8500U
#define REPLAY_MS 14000U
#define STEP_MS 10U
#define SCAN_MS 50U
#define OBJECTIVE_MS 1200U
#define DEADLINE_MS 6000U
#define ANSWER_MS 200U
#define TRANSIT_MS 20U
/* Delay of the second copy of a message.  */
#define LATE_MS 1000U
#define PENDING_MAX 256U
#define MAIL_MAX 16384U

/**
 * struct pending - a request at a worker
 * @noted: it was found late
 */
struct pending
{
  uint64_t end_ms;
  uint32_t worker;
  bool lost;
  uint64_t sent_ms;
  bool noted;
};

/**
 * struct mail - a report under way to one host
 */
struct mail
{
  uint64_t due_ms;
  uint32_t to;
  struct mq_evidence_report report;
  struct mq_evidence_sighting sightings[MQ_EVIDENCE_SIGHTINGS_MAX];
};

struct host
{
  struct mq_fleet *fleet;
  struct mq_evidence *evidence;
  struct pending pending[PENDING_MAX];
  size_t count;
};

/**
 * struct trouble - what goes wrong beside the hanging workers
 * @tells: hosts tell each other
 * @lost_percent: messages that are lost
 * @twice: each message arrives again, later
 * @cut_host: the first host gets no answers
 * @grey: workers that hang do so with half of their requests
 */
struct trouble
{
  const char *name;
  bool tells;
  uint32_t lost_percent;
  bool twice;
  bool cut_host;
  bool grey;
};

/**
 * struct replay - state of a replay
 * @lost: requests that no worker answered, but for those of a cut host
 * @served: requests at each good worker from HANG_MS to HANG_END_MS
 * @bytes: sent by all hosts
 */
struct replay
{
  const struct trouble *trouble;
  struct host hosts[HOSTS];
  struct mail mail[MAIL_MAX];
  size_t mail_count;
  uint64_t random;
  uint64_t now_ms;
  uint32_t lost;
  uint32_t served[WORKERS];
  uint64_t bytes;
};

static bool
chance (struct replay *replay, uint32_t thousandths)
{
  return mq_random_below (&replay->random, 1000) < thousandths;
}

static void
post (struct replay *replay, uint32_t to,
      const struct mq_evidence_report *report, uint64_t due_ms)
{
  struct mail *mail = &replay->mail[replay->mail_count];

  cr_assert_lt (replay->mail_count, MAIL_MAX);
  replay->mail_count++;
  *mail = (struct mail){ .due_ms = due_ms, .to = to, .report = *report };
  memcpy (mail->sightings, report->sightings,
          report->count * sizeof *report->sightings);
}

static void
send_report (struct replay *replay, uint32_t from,
             const struct mq_evidence_report *report)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_EVIDENCE, .u.evidence = *report };
  struct mq_bytes bytes = mq_relay_frame_pack (replay, &frame);

  replay->bytes += bytes.len * (HOSTS - 1);
  talloc_free (bytes.data);
  for (uint32_t to = 0; to < HOSTS; to++)
    {
      if (to == from)
        continue;
      if (chance (replay, replay->trouble->lost_percent * 10))
        continue;
      post (replay, to, report, replay->now_ms + TRANSIT_MS);
      if (replay->trouble->twice)
        post (replay, to, report, replay->now_ms + LATE_MS);
    }
}

static void
deliver (struct replay *replay)
{
  size_t kept = 0;

  for (size_t i = 0; i < replay->mail_count; i++)
    {
      struct mail *mail = &replay->mail[i];

      if (mail->due_ms > replay->now_ms)
        {
          replay->mail[kept++] = *mail;
          continue;
        }
      mail->report.sightings = mail->sightings;
      mq_evidence_receive (replay->hosts[mail->to].evidence, &mail->report,
                           WORKERS, replay->now_ms);
    }
  replay->mail_count = kept;
}

static void
scan_host (struct replay *replay, uint32_t number)
{
  struct host *host = &replay->hosts[number];
  struct mq_evidence_report report;

  for (size_t i = 0; i < host->count; i++)
    if (!host->pending[i].noted)
      host->pending[i].noted
          = mq_fleet_record_wait (host->fleet, host->pending[i].worker,
                                  host->pending[i].sent_ms, replay->now_ms);
  mq_evidence_scan_begin (host->evidence, replay->now_ms);
  mq_fleet_scan (host->fleet, host->evidence, replay->now_ms);
  if (mq_evidence_scan_end (host->evidence, HOSTS - 1, &report))
    send_report (replay, number, &report);
}

static void
end_requests (struct replay *replay, struct host *host)
{
  size_t kept = 0;

  for (size_t i = 0; i < host->count; i++)
    {
      struct pending *pending = &host->pending[i];

      if (pending->end_ms > replay->now_ms)
        {
          host->pending[kept++] = *pending;
          continue;
        }
      if (!pending->lost)
        mq_fleet_record_activity (host->fleet, pending->worker,
                                  replay->now_ms);
      mq_fleet_request_ended (host->fleet, pending->worker,
                              pending->lost ? MQ_OUTCOME_FAILED
                                            : MQ_OUTCOME_SUCCEEDED,
                              replay->now_ms);
    }
  host->count = kept;
}

static bool
hangs (struct replay *replay, uint32_t worker)
{
  return worker < HANGING && replay->now_ms >= HANG_MS
         && replay->now_ms < HANG_END_MS
         && (!replay->trouble->grey || chance (replay, 500));
}

static void
send_request (struct replay *replay, uint32_t number, bool once)
{
  struct host *host = &replay->hosts[number];
  bool cut = replay->trouble->cut_host && number == 0;
  struct mq_fleet_query query = { .service = "s",
                                  .data_centre = "a",
                                  .once = once,
                                  .objective_ms = OBJECTIVE_MS,
                                  .evidence = host->evidence,
                                  .now_ms = replay->now_ms,
                                  .random = mq_random_next (&replay->random) };
  uint32_t worker = mq_fleet_choose (host->fleet, &query);
  uint32_t w = (uint32_t)strtoul (
      mq_fleet_member (host->fleet, worker)->id + 1, NULL, 10);
  uint64_t answer_ms
      = ANSWER_MS / 2 + mq_random_below (&replay->random, ANSWER_MS);
  bool lost = hangs (replay, w) || (cut && replay->now_ms >= HANG_MS);

  if (lost && once && !cut)
    replay->lost++;
  if (!lost && replay->now_ms >= HANG_MS && replay->now_ms < HANG_END_MS)
    replay->served[w]++;
  cr_assert_lt (host->count, PENDING_MAX);
  host->pending[host->count++]
      = (struct pending){ .end_ms
                          = replay->now_ms + (lost ? DEADLINE_MS : answer_ms),
                          .worker = worker,
                          .lost = lost,
                          .sent_ms = replay->now_ms };
  mq_fleet_request_started (host->fleet, worker, replay->now_ms);
}

static void
step (struct replay *replay)
{
  deliver (replay);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      end_requests (replay, &replay->hosts[i]);
      /* 7 requests a second that may not be repeated, and 7 others.  */
      if (chance (replay, 70))
        send_request (replay, i, true);
      if (chance (replay, 70))
        send_request (replay, i, false);
      if (replay->trouble->tells && replay->now_ms % SCAN_MS == 0)
        scan_host (replay, i);
    }
}

static struct replay *
run (const struct trouble *trouble, uint64_t seed)
{
  struct replay *replay = talloc_zero (NULL, struct replay);

  replay->trouble = trouble;
  replay->random = seed;
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      struct host *host = &replay->hosts[i];

      host->fleet = mq_fleet_create (replay);
      host->evidence = mq_evidence_create (replay, i + 1, 1);
      for (uint32_t n = 0; n < WORKERS; n++)
        {
          char id[16];

          snprintf (id, sizeof id, "w%u", n);
          put_worker (host->fleet, id, 1);
        }
    }
  for (replay->now_ms = STEP_MS; replay->now_ms < REPLAY_MS;
       replay->now_ms += STEP_MS)
    step (replay);
  return replay;
}

/* Requests at the good worker with the fewest, percent of the mean.  */
static uint32_t
least_percent (const struct replay *replay)
{
  uint32_t sum = 0;
  uint32_t least = UINT32_MAX;

  for (uint32_t i = HANGING; i < WORKERS; i++)
    {
      sum += replay->served[i];
      if (replay->served[i] < least)
        least = replay->served[i];
    }
  return least * 100U * (WORKERS - HANGING) / sum;
}

/* Failure: each of 31 hosts loses a request of its own to each hanging worker.
 */
Test (evidence, hosts_that_tell_each_other)
{
  static const struct
  {
    struct trouble trouble;
    uint32_t lost_percent; /* of those of hosts that tell nothing */
  } rows[] = {
    { { "all hosts tell", true, 0, false, false, false }, 31 },
    { { "a third of the messages is lost", true, 33, false, false, false },
      40 },
    { { "each message twice", true, 0, true, false, false }, 31 },
    { { "a host is cut off", true, 0, false, true, false }, 31 },
    { { "half of the requests is answered", true, 0, false, false, true },
      50 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct trouble alone = { .grey = rows[i].trouble.grey };
      uint32_t without = 0;
      uint32_t with = 0;

      for (uint64_t seed = 1; seed <= 3; seed++)
        {
          struct replay *before = run (&alone, seed);
          struct replay *after = run (&rows[i].trouble, seed);

          without += before->lost;
          with += after->lost;
          cr_expect_geq (least_percent (after), 50U, "%s: %u",
                         rows[i].trouble.name, least_percent (after));
          cr_expect_leq (after->bytes / HOSTS,
                         (uint64_t)MQ_EVIDENCE_BYTES_PER_S * REPLAY_MS / 1000,
                         "%s", rows[i].trouble.name);
          if (getenv ("EVIDENCE_VERBOSE") != NULL)
            printf (
                "%s: lost %u alone, %u; least %u%% of the mean; "
                "%llu bytes/s a host\n",
                rows[i].trouble.name, before->lost, after->lost,
                least_percent (after),
                (unsigned long long)(after->bytes * 1000 / HOSTS / REPLAY_MS));
          talloc_free (before);
          talloc_free (after);
        }
      cr_expect_leq (with * 100U, without * rows[i].lost_percent,
                     "%s: %u of %u", rows[i].trouble.name, with, without);
    }
}
