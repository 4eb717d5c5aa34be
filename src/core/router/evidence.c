/* evidence.c - what hosts tell each other of workers that don't answer.

   Needs: evidence.h, idmap.h, id.h, memory.h.  */

#include "evidence.h"
#include "../id.h"
#include "../idmap.h"
#include "../memory.h"
#include <string.h>

#define CHANGES_MAX 16U

/**
 * struct witness - another host's doubt of a worker
 * @host: 0 if unused
 * @since_ms: time at which its request was sent
 * @told_ms: time at which it was told here
 * @until_ms: time at which the doubt has faded
 */
struct witness
{
  uint64_t host;
  uint64_t since_ms;
  uint64_t told_ms;
  uint64_t until_ms;
};

/**
 * struct sight - a worker that this host or another one doubts
 * @scan: last scan that found it doubtful
 * @scans: scans in a row that did
 * @kind: as told to others
 * @since_ms: time at which the request was sent that waits here
 * @told_ms: time at which this host told its doubt, 0 if it did not since the
 *           worker last answered
 * @told_since_ms: @since_ms of what it told
 * @heard_ms: time at which data last arrived here
 * @answered_ms: time of the last answer that another host told, 0 if none
 * @alone_ms: time at which the doubt of one host alone began to count, 0 if it
 *            never did
 * @late_ms: time at which a request was last found late here, 0 if never
 * @told_late_ms: time at which this host told it
 * @late: hosts that had a late request
 * @doubted: the last change told to the caller
 */
struct sight
{
  struct sight *next;
  uint64_t worker;
  uint64_t scan;
  uint32_t scans;
  enum mq_evidence_kind kind;
  uint64_t since_ms;
  uint64_t told_ms;
  uint64_t told_since_ms;
  uint64_t heard_ms;
  uint64_t answered_ms;
  uint64_t alone_ms;
  uint64_t late_ms;
  uint64_t told_late_ms;
  bool doubted;
  struct witness witnesses[MQ_EVIDENCE_WITNESSES_MAX];
  struct witness late[MQ_EVIDENCE_WITNESSES_MAX];
};

/**
 * struct teller - a host that sent reports
 * @host: 0 if unused
 * @last_ms: time of the last one
 */
struct teller
{
  uint64_t host;
  uint64_t run;
  uint64_t serial;
  uint64_t last_ms;
};

/**
 * struct mq_evidence - evidence of one host
 * @host: names this host in reports
 * @sights: list of workers, SIGHT_COUNT of them
 * @by_worker: the same by digest
 * @scan: number of the current scan
 * @used: workers in use, found by it
 * @doubted: of them doubtful ones
 * @scan_ms: time of the scan
 * @credit_bytes: bytes that may be sent
 * @credit_ms: time up to which they were counted
 */
struct mq_evidence
{
  uint64_t host;
  uint64_t run;
  uint64_t serial;
  struct sight *sights;
  size_t sight_count;
  struct mq_idmap *by_worker;
  struct teller tellers[MQ_EVIDENCE_HOSTS_MAX];
  uint64_t scan;
  uint32_t used;
  uint32_t doubted;
  uint64_t scan_ms;
  uint64_t credit_bytes;
  uint64_t credit_ms;
  struct mq_evidence_sighting sightings[MQ_EVIDENCE_SIGHTINGS_MAX];
  struct mq_evidence_change changes[CHANGES_MAX];
  size_t change_count;
};

struct mq_evidence *
mq_evidence_create (TALLOC_CTX *ctx, uint64_t host, uint64_t run)
{
  struct mq_evidence *evidence
      = mq_check_alloc (talloc_zero (ctx, struct mq_evidence));

  evidence->host = host;
  evidence->run = run;
  evidence->by_worker = mq_check_alloc (mq_idmap_create (evidence));
  evidence->credit_bytes = MQ_EVIDENCE_BURST_BYTES;
  return evidence;
}

void
mq_evidence_destroy (struct mq_evidence *evidence)
{
  talloc_free (evidence);
}

static struct mq_id
worker_key (uint64_t worker)
{
  return (struct mq_id){ .lo = worker };
}

static struct sight *
find_sight (const struct mq_evidence *evidence, uint64_t worker)
{
  return mq_idmap_find (evidence->by_worker, worker_key (worker), 0);
}

/* Returns NULL if there are too many.  */
static struct sight *
get_sight (struct mq_evidence *evidence, uint64_t worker)
{
  struct sight *sight = find_sight (evidence, worker);

  if (sight != NULL || evidence->sight_count == MQ_EVIDENCE_WORKERS_MAX)
    return sight;
  sight = mq_check_alloc (talloc_zero (evidence, struct sight));
  sight->worker = worker;
  sight->next = evidence->sights;
  evidence->sights = sight;
  evidence->sight_count++;
  mq_idmap_put (evidence->by_worker, worker_key (worker), 0, sight);
  return sight;
}

static bool
is_active (const struct witness *witness, uint64_t now_ms)
{
  return witness->host != 0 && witness->until_ms > now_ms;
}

/* Hosts whose request was sent later than this host heard of the worker.  */
static uint32_t
count_witnesses (const struct sight *sight, uint64_t heard_ms, uint64_t now_ms)
{
  uint32_t count = 0;

  for (size_t i = 0; i < MQ_EVIDENCE_WITNESSES_MAX; i++)
    if (is_active (&sight->witnesses[i], now_ms)
        && sight->witnesses[i].since_ms >= heard_ms)
      count++;
  return count;
}

/* Hosts that had a late request, this one included; 0 if it is only one.  */
static uint32_t
count_late (const struct sight *sight, uint64_t now_ms)
{
  uint32_t count = 0;

  if (sight->late_ms != 0 && now_ms - sight->late_ms < MQ_EVIDENCE_TTL_MS)
    count++;
  for (size_t i = 0; i < MQ_EVIDENCE_WITNESSES_MAX; i++)
    if (is_active (&sight->late[i], now_ms))
      count++;
  return count < 2 ? 0 : count;
}

static void
add_change (struct mq_evidence *evidence, struct sight *sight, bool doubted,
            uint64_t host, uint32_t age_ms)
{
  if (sight->doubted == doubted)
    return;
  sight->doubted = doubted;
  if (evidence->change_count == CHANGES_MAX)
    return;
  evidence->changes[evidence->change_count++]
      = (struct mq_evidence_change){ sight->worker, host, age_ms, doubted };
}

bool
mq_evidence_next_change (struct mq_evidence *evidence,
                         struct mq_evidence_change *change)
{
  if (evidence->change_count == 0)
    return false;
  *change = evidence->changes[0];
  evidence->change_count--;
  memmove (evidence->changes, evidence->changes + 1,
           evidence->change_count * sizeof evidence->changes[0]);
  return true;
}

/* Own sight */

void
mq_evidence_scan_begin (struct mq_evidence *evidence, uint64_t now_ms)
{
  evidence->scan++;
  evidence->scan_ms = now_ms;
  evidence->used = 0;
  evidence->doubted = 0;
}

void
mq_evidence_scan_doubted (struct mq_evidence *evidence, uint64_t worker,
                          enum mq_evidence_kind kind, uint64_t since_ms)
{
  struct sight *sight = get_sight (evidence, worker);

  evidence->used++;
  evidence->doubted++;
  if (sight == NULL)
    return;
  sight->scans = sight->scan + 1 == evidence->scan ? sight->scans + 1 : 1;
  sight->scan = evidence->scan;
  sight->kind = kind;
  sight->since_ms = since_ms;
}

void
mq_evidence_scan_heard (struct mq_evidence *evidence, uint64_t worker,
                        uint64_t heard_ms)
{
  struct sight *sight = NULL;

  if (heard_ms == 0)
    return;
  if (evidence->scan_ms - heard_ms < MQ_EVIDENCE_USED_MS)
    evidence->used++;
  if (evidence->sight_count > 0)
    sight = find_sight (evidence, worker);
  if (sight != NULL)
    sight->heard_ms = heard_ms;
}

void
mq_evidence_scan_late (struct mq_evidence *evidence, uint64_t worker,
                       uint64_t found_ms)
{
  struct sight *sight;

  if (evidence->scan_ms - found_ms >= MQ_EVIDENCE_RENEW_MS)
    return;
  sight = get_sight (evidence, worker);
  if (sight == NULL)
    return;
  sight->late_ms = found_ms;
  if (sight->scan != evidence->scan)
    evidence->doubted++;
}

static bool
exceeds (uint32_t doubted, uint32_t used)
{
  return doubted * 100U > used * MQ_EVIDENCE_DOUBTED_MAX_PERCENT;
}

static bool
were_told_lately (const struct witness *witnesses, uint64_t now_ms)
{
  uint32_t count = 0;

  for (size_t i = 0; i < MQ_EVIDENCE_WITNESSES_MAX; i++)
    if (is_active (&witnesses[i], now_ms)
        && now_ms - witnesses[i].told_ms < MQ_EVIDENCE_RENEW_MS)
      count++;
  return count >= 2;
}

/* Failure: all hosts tell the same of a worker, and renew it.  Two are enough.
 */
static bool
must_tell_doubt (const struct mq_evidence *evidence, const struct sight *sight)
{
  uint64_t now = evidence->scan_ms;

  if (sight->scan != evidence->scan || sight->scans < MQ_EVIDENCE_SCANS)
    return false;
  if (sight->since_ms <= sight->answered_ms)
    return false;
  if (sight->told_ms != 0 && now - sight->told_ms < MQ_EVIDENCE_RENEW_MS)
    return false;
  return !were_told_lately (sight->witnesses, now);
}

static bool
must_tell_late (const struct mq_evidence *evidence, const struct sight *sight)
{
  uint64_t now = evidence->scan_ms;

  return sight->late_ms > sight->told_late_ms
         && now - sight->late_ms < MQ_EVIDENCE_RENEW_MS
         && now - sight->told_late_ms >= MQ_EVIDENCE_RENEW_MS
         && !were_told_lately (sight->late, now);
}

/* Whether the worker has answered here after this host or another one began to
   doubt it.

   Failure: the doubt of a host that is slow itself keeps a good worker from
   all requests of the others that may not be repeated.  */
static bool
must_tell_answer (const struct mq_evidence *evidence,
                  const struct sight *sight)
{
  if (sight->scan == evidence->scan)
    return false;
  if (sight->told_ms != 0 && sight->heard_ms > sight->told_since_ms)
    return true;
  return count_witnesses (sight, 0, evidence->scan_ms)
         > count_witnesses (sight, sight->heard_ms, evidence->scan_ms);
}

static void
drop_witnesses (struct sight *sight, uint64_t answered_ms)
{
  for (size_t i = 0; i < MQ_EVIDENCE_WITNESSES_MAX; i++)
    if (sight->witnesses[i].since_ms < answered_ms)
      sight->witnesses[i] = (struct witness){ .host = 0 };
}

static uint32_t
age_at (uint64_t time_ms, uint64_t now_ms)
{
  uint64_t age = now_ms - time_ms;

  return age < MQ_EVIDENCE_AGE_MAX_MS ? (uint32_t)age : MQ_EVIDENCE_AGE_MAX_MS;
}

/* Adds what is to be told of SIGHT, if anything; returns whether it did.  */
static bool
add_sighting (struct mq_evidence *evidence, struct sight *sight, size_t count)
{
  struct mq_evidence_sighting *sighting = &evidence->sightings[count];
  uint64_t now = evidence->scan_ms;

  if (must_tell_doubt (evidence, sight))
    {
      *sighting
          = (struct mq_evidence_sighting){ sight->worker, sight->kind,
                                           age_at (sight->since_ms, now) };
      sight->told_ms = now;
      sight->told_since_ms = sight->since_ms;
      return true;
    }
  if (must_tell_late (evidence, sight))
    {
      *sighting
          = (struct mq_evidence_sighting){ sight->worker, MQ_EVIDENCE_LATE,
                                           age_at (sight->late_ms, now) };
      sight->told_late_ms = now;
      return true;
    }
  if (!must_tell_answer (evidence, sight))
    return false;
  *sighting
      = (struct mq_evidence_sighting){ sight->worker, MQ_EVIDENCE_ANSWERS,
                                       age_at (sight->heard_ms, now) };
  sight->told_ms = 0;
  drop_witnesses (sight, sight->heard_ms);
  return true;
}

static void
add_credit (struct mq_evidence *evidence)
{
  uint64_t now = evidence->scan_ms;
  uint64_t credit
      = (now - evidence->credit_ms) * MQ_EVIDENCE_BYTES_PER_S / 1000U;

  if (credit == 0)
    return;
  evidence->credit_ms = now;
  evidence->credit_bytes += credit;
  if (evidence->credit_bytes > MQ_EVIDENCE_BURST_BYTES)
    evidence->credit_bytes = MQ_EVIDENCE_BURST_BYTES;
}

/* Sightings that may be sent to RECEIVERS now.  */
static size_t
allowed_sightings (const struct mq_evidence *evidence, uint32_t receivers)
{
  uint64_t each = receivers == 0 ? 0 : evidence->credit_bytes / receivers;
  uint64_t allowed;

  if (each < MQ_EVIDENCE_FRAME_BYTES)
    return 0;
  allowed = (each - MQ_EVIDENCE_FRAME_BYTES) / MQ_EVIDENCE_SIGHTING_BYTES;
  return allowed < MQ_EVIDENCE_SIGHTINGS_MAX ? (size_t)allowed
                                             : MQ_EVIDENCE_SIGHTINGS_MAX;
}

static bool
is_over (const struct mq_evidence *evidence, const struct sight *sight)
{
  uint64_t now = evidence->scan_ms;
  uint64_t pause = MQ_EVIDENCE_ALONE_MS + MQ_EVIDENCE_ALONE_PAUSE_MS;

  return sight->scan != evidence->scan && count_witnesses (sight, 0, now) == 0
         && count_late (sight, now) == 0
         && (sight->late_ms == 0 || now - sight->late_ms > MQ_EVIDENCE_TTL_MS)
         && (sight->told_ms == 0 || now - sight->told_ms > pause)
         && (sight->alone_ms == 0 || now - sight->alone_ms > pause)
         && (sight->answered_ms == 0
             || now - sight->answered_ms > MQ_EVIDENCE_TTL_MS);
}

/* Ends doubts that have faded and removes what is known of workers that nobody
   doubts.  */
static void
expire (struct mq_evidence *evidence)
{
  struct sight **at = &evidence->sights;

  while (*at != NULL)
    {
      struct sight *sight = *at;

      if (sight->doubted && count_witnesses (sight, 0, evidence->scan_ms) == 0
          && count_late (sight, evidence->scan_ms) == 0)
        add_change (evidence, sight, false, 0, 0);
      if (!is_over (evidence, sight))
        {
          at = &sight->next;
          continue;
        }
      *at = sight->next;
      mq_idmap_remove (evidence->by_worker, worker_key (sight->worker), 0);
      evidence->sight_count--;
      talloc_free (sight);
    }
}

bool
mq_evidence_scan_end (struct mq_evidence *evidence, uint32_t receivers,
                      struct mq_evidence_report *report)
{
  size_t allowed;
  size_t count = 0;

  add_credit (evidence);
  allowed = allowed_sightings (evidence, receivers);
  if (exceeds (evidence->doubted, evidence->used))
    allowed = 0;
  for (struct sight *sight = evidence->sights;
       sight != NULL && count < allowed; sight = sight->next)
    if (add_sighting (evidence, sight, count))
      count++;
  expire (evidence);
  if (count == 0)
    return false;
  evidence->credit_bytes
      -= receivers
         * (MQ_EVIDENCE_FRAME_BYTES + count * MQ_EVIDENCE_SIGHTING_BYTES);
  *report = (struct mq_evidence_report){ .host = evidence->host,
                                         .run = evidence->run,
                                         .serial = ++evidence->serial,
                                         .used = evidence->used,
                                         .doubted = evidence->doubted,
                                         .sightings = evidence->sightings,
                                         .count = count };
  return true;
}

/* Reports of others */

static bool
is_valid (const struct mq_evidence *evidence,
          const struct mq_evidence_report *report)
{
  if (report->host == 0 || report->host == evidence->host || report->count == 0
      || report->count > MQ_EVIDENCE_SIGHTINGS_MAX
      || report->doubted > report->used)
    return false;
  for (size_t i = 0; i < report->count; i++)
    if (report->sightings[i].age_ms > MQ_EVIDENCE_AGE_MAX_MS)
      return false;
  return true;
}

/* Returns the record of HOST; a new one replaces the one that was silent for
   longest.  */
static struct teller *
get_teller (struct mq_evidence *evidence, uint64_t host)
{
  struct teller *oldest = &evidence->tellers[0];

  for (size_t i = 0; i < MQ_EVIDENCE_HOSTS_MAX; i++)
    {
      struct teller *teller = &evidence->tellers[i];

      if (teller->host == host)
        return teller;
      if (teller->last_ms < oldest->last_ms)
        oldest = teller;
    }
  *oldest = (struct teller){ .host = host };
  return oldest;
}

static bool
is_old (struct mq_evidence *evidence, const struct mq_evidence_report *report,
        uint64_t now_ms)
{
  struct teller *teller = get_teller (evidence, report->host);

  if (teller->run == report->run && report->serial <= teller->serial)
    return true;
  if (report->run < teller->run
      && now_ms - teller->last_ms < MQ_EVIDENCE_RUN_MS)
    return true;
  teller->run = report->run;
  teller->serial = report->serial;
  teller->last_ms = now_ms;
  return false;
}

static struct witness *
find_witness (struct witness *witnesses, uint64_t host)
{
  for (size_t i = 0; i < MQ_EVIDENCE_WITNESSES_MAX; i++)
    if (witnesses[i].host == host)
      return &witnesses[i];
  return NULL;
}

static bool
accuses (struct witness *witnesses, uint64_t host, uint64_t now_ms)
{
  const struct witness *witness = find_witness (witnesses, host);

  return witness != NULL && is_active (witness, now_ms);
}

/* Workers that HOST doubts, as told here.  */
static size_t
count_accused (const struct mq_evidence *evidence, uint64_t host,
               uint64_t now_ms)
{
  size_t count = 0;

  for (struct sight *sight = evidence->sights; sight != NULL;
       sight = sight->next)
    if (accuses (sight->witnesses, host, now_ms)
        || accuses (sight->late, host, now_ms))
      count++;
  return count;
}

static void
forget_witness (struct witness *witnesses, uint64_t host)
{
  struct witness *witness = find_witness (witnesses, host);

  if (witness != NULL)
    *witness = (struct witness){ .host = 0 };
}

static void
forget_host (struct mq_evidence *evidence, uint64_t host)
{
  for (struct sight *sight = evidence->sights; sight != NULL;
       sight = sight->next)
    {
      forget_witness (sight->witnesses, host);
      forget_witness (sight->late, host);
    }
}

/* Time at which doubt told now fades, different at each host.  */
static uint64_t
fade_time (const struct mq_evidence *evidence, uint64_t worker,
           uint64_t now_ms)
{
  uint64_t state = evidence->host ^ worker;

  return now_ms + MQ_EVIDENCE_TTL_MS
         + mq_random_next (&state) % MQ_EVIDENCE_TTL_MS;
}

/* Adds or renews the doubt of HOST, unless there are enough.  */
static void
put_witness (struct witness *witnesses, const struct witness *doubt)
{
  struct witness *witness = find_witness (witnesses, doubt->host);

  for (size_t i = 0; witness == NULL && i < MQ_EVIDENCE_WITNESSES_MAX; i++)
    if (!is_active (&witnesses[i], doubt->told_ms))
      witness = &witnesses[i];
  if (witness != NULL)
    *witness = *doubt;
}

static uint64_t
time_of (const struct mq_evidence_sighting *sighting, uint64_t now_ms)
{
  return now_ms > sighting->age_ms ? now_ms - sighting->age_ms : 1;
}

static void
take_doubt (struct mq_evidence *evidence, uint64_t host,
            const struct mq_evidence_sighting *sighting, uint64_t now_ms)
{
  struct sight *sight = get_sight (evidence, sighting->worker);
  uint64_t pause = MQ_EVIDENCE_ALONE_MS + MQ_EVIDENCE_ALONE_PAUSE_MS;
  struct witness doubt
      = { .host = host,
          .since_ms = time_of (sighting, now_ms),
          .told_ms = now_ms,
          .until_ms = fade_time (evidence, sighting->worker, now_ms) };

  if (sight == NULL || doubt.since_ms <= sight->answered_ms)
    return;
  if (sight->alone_ms == 0 || now_ms - sight->alone_ms >= pause)
    sight->alone_ms = now_ms;
  put_witness (sight->witnesses, &doubt);
  if (count_witnesses (sight, 0, now_ms) >= 2)
    add_change (evidence, sight, true, host, sighting->age_ms);
}

static void
take_late (struct mq_evidence *evidence, uint64_t host,
           const struct mq_evidence_sighting *sighting, uint64_t now_ms)
{
  struct sight *sight = get_sight (evidence, sighting->worker);
  uint64_t found = time_of (sighting, now_ms);
  struct witness doubt
      = { .host = host,
          .since_ms = found,
          .told_ms = now_ms,
          .until_ms = fade_time (evidence, sighting->worker, found) };

  if (sight == NULL)
    return;
  put_witness (sight->late, &doubt);
  if (count_late (sight, now_ms) >= 2)
    add_change (evidence, sight, true, host, sighting->age_ms);
}

static void
take_answer (struct mq_evidence *evidence, uint64_t host,
             const struct mq_evidence_sighting *sighting, uint64_t now_ms)
{
  struct sight *sight = find_sight (evidence, sighting->worker);
  uint64_t answered = time_of (sighting, now_ms);

  if (sight == NULL)
    return;
  if (answered > sight->answered_ms)
    sight->answered_ms = answered;
  if (answered > sight->told_since_ms)
    sight->told_ms = 0;
  drop_witnesses (sight, answered);
  if (count_witnesses (sight, 0, now_ms) == 0
      && count_late (sight, now_ms) == 0)
    add_change (evidence, sight, false, host, sighting->age_ms);
}

enum mq_evidence_verdict
mq_evidence_receive (struct mq_evidence *evidence,
                     const struct mq_evidence_report *report, size_t workers,
                     uint64_t now_ms)
{
  if (!is_valid (evidence, report))
    return MQ_EVIDENCE_INVALID;
  if (is_old (evidence, report, now_ms))
    return MQ_EVIDENCE_OLD;
  for (size_t i = 0; i < report->count; i++)
    switch (report->sightings[i].kind)
      {
      case MQ_EVIDENCE_SILENT:
      case MQ_EVIDENCE_LOST:
        take_doubt (evidence, report->host, &report->sightings[i], now_ms);
        break;
      case MQ_EVIDENCE_LATE:
        take_late (evidence, report->host, &report->sightings[i], now_ms);
        break;
      case MQ_EVIDENCE_ANSWERS:
        take_answer (evidence, report->host, &report->sightings[i], now_ms);
        break;
      /* Of a newer release.  */
      case MQ_EVIDENCE_KINDS:
        break;
      }
  if (!exceeds (report->doubted, report->used)
      && count_accused (evidence, report->host, now_ms) * 100U
             <= workers * MQ_EVIDENCE_DOUBTED_MAX_PERCENT)
    return MQ_EVIDENCE_TAKEN;
  forget_host (evidence, report->host);
  return MQ_EVIDENCE_CUT_OFF;
}

bool
mq_evidence_is_empty (const struct mq_evidence *evidence)
{
  return evidence->sight_count == 0;
}

uint32_t
mq_evidence_doubts (const struct mq_evidence *evidence, uint64_t worker,
                    uint64_t heard_ms, uint64_t now_ms)
{
  const struct sight *sight = find_sight (evidence, worker);
  uint32_t count;

  if (sight == NULL)
    return 0;
  count = count_witnesses (sight, heard_ms, now_ms);
  if (count == 1 && now_ms - sight->alone_ms >= MQ_EVIDENCE_ALONE_MS)
    count = 0;
  return count > 0 ? count : count_late (sight, now_ms);
}
