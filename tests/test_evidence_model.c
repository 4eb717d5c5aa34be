/* test_evidence_model.c - randomized model check of what hosts tell each other
   of workers.

   Several hosts use a few workers, which hang, lose a part of their requests
   and answer again.  Messages are lost, late, delivered twice and in any
   order; hosts are cut off, held up and started again.  After each step each
   host's conclusions are checked against what it was really told and saw, in
   seeded random walks.  Injected faults show that the walks can detect
   violations.
   Needs: Criterion, evidence.h, id.h.  */

#include "core/id.h"
#include "core/router/evidence.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  HOSTS = 5,
  RECEIVERS = 24, /* counted for the bound; the model has fewer */
  WORKERS = 12,
  MESSAGES = 512,
  TOLD = 4096,
  STEPS = 1600,
  QUIET_STEPS = 400,
  STEP_MS = 50,
  SEEDS = 60,
  FAULT_SEEDS = 60,
  START_MS = 100000,
  PATIENCE_MS = 300,
  OBJECTIVE_MS = 1200,
  LATE_MAX_MS = 3000, /* longest delay of a message */
  FADE_MS = 2 * MQ_EVIDENCE_TTL_MS
};

enum fault
{
  FAULT_NONE,
  FAULT_OWN_SIGHT_IGNORED, /* what this host heard does not count */
  FAULT_NAMED_BY_RUN,      /* a host that starts again is another one */
  FAULT_NEW_SERIALS,       /* a message that comes twice looks new */
  FAULT_AGES_OMITTED,      /* a late message tells of now */
  FAULT_CLOCK_STOPS,       /* nothing fades */
  FAULT_CUT_HOST_BELIEVED, /* a host that doubts most workers hides it */
  FAULT_NO_BOUND,          /* messages to all hosts count as one */
  FAULT_ALONE_FOR_EVER,    /* the doubt of one host counts as of two */
  FAULT_NOTHING_TOLD,      /* messages are not sent */
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT]
    = { "none",           "own sight ignored", "named by run",   "new serials",
        "ages omitted",   "clock stops",       "cut host heard", "no bound",
        "alone for ever", "nothing told" };

/**
 * struct message - a report under way
 */
struct message
{
  bool used;
  int from;
  int to;
  uint64_t arrives_ms;
  uint64_t sent_ms;
  uint64_t id;
  bool cut; /* the sender really doubted most workers */
  struct mq_evidence_report report;
  struct mq_evidence_sighting sightings[MQ_EVIDENCE_SIGHTINGS_MAX];
};

/**
 * struct told - a sighting that reached a host
 * @since_ms: time of what was seen, as far as the host can know
 */
struct told
{
  int from;
  int to;
  int worker;
  uint64_t id;
  enum mq_evidence_kind kind;
  uint64_t told_ms;
  uint64_t since_ms;
  bool cut;
};

/**
 * struct use - a host's use of a worker
 * @asked_ms: oldest request without data since, 0 if none
 * @heard_ms: last data
 * @late_ms: a request was last found late
 * @alone_ms: time since which the doubt of one host alone has counted, 0 if it
 *            does not
 */
struct use
{
  uint64_t asked_ms;
  uint64_t heard_ms;
  uint64_t late_ms;
  uint64_t alone_ms;
};

struct host
{
  struct mq_evidence *evidence;
  uint64_t run;
  uint64_t held_until_ms;
  uint64_t cut_until_ms;
  uint64_t sent_bytes;
  struct use uses[WORKERS];
};

/**
 * struct model - state of a walk
 * @hangs_until_ms: each worker answers nothing until then
 * @trouble: more goes wrong
 * @quiet: nothing has gone wrong for long
 * @slow_serial: of a host that is slow itself and tells it
 * @error: first violation, NULL if none
 * @concluded: conclusions that kept a host from a hanging worker that it had
 *             not found itself
 */
struct model
{
  enum fault fault;
  uint64_t random;
  uint64_t now_ms;
  uint64_t next_id;
  struct host hosts[HOSTS];
  uint64_t hangs_until_ms[WORKERS];
  uint64_t grey_until_ms[WORKERS];
  struct message messages[MESSAGES];
  struct told told[TOLD];
  size_t told_count;
  uint32_t concluded;
  uint64_t slow_serial;
  bool trouble;
  bool quiet;
  const char *error;
};

static bool
chance (struct model *model, uint32_t thousandths)
{
  return mq_random_below (&model->random, 1000) < thousandths;
}

static void
fail (struct model *model, const char *what)
{
  if (model->error == NULL)
    model->error = what;
}

static uint64_t
name_of (const struct model *model, int host)
{
  if (model->fault == FAULT_NAMED_BY_RUN)
    return 1000 * model->hosts[host].run + (uint64_t)host + 1;
  return (uint64_t)host + 1;
}

static void
start_host (struct model *model, TALLOC_CTX *ctx, int number)
{
  struct host *host = &model->hosts[number];

  host->run++;
  mq_evidence_destroy (host->evidence);
  host->evidence
      = mq_evidence_create (ctx, name_of (model, number), host->run);
  host->sent_bytes = 0;
  memset (host->uses, 0, sizeof host->uses);
  for (size_t i = 0; i < model->told_count; i++)
    if (model->told[i].to == number)
      model->told[i].to = -1;
}

/* Messages */

static void
post (struct model *model, int from, int to, const struct message *sample)
{
  for (size_t i = 0; i < MESSAGES; i++)
    if (!model->messages[i].used)
      {
        struct message *message = &model->messages[i];

        *message = *sample;
        message->used = true;
        message->from = from;
        message->to = to;
        message->arrives_ms
            = model->now_ms + 1
              + mq_random_below (&model->random,
                                 chance (model, 100) ? LATE_MAX_MS : 60);
        return;
      }
}

static void
send_report (struct model *model, int from,
             const struct mq_evidence_report *report)
{
  struct message sample = { .report = *report,
                            .id = ++model->next_id,
                            .sent_ms = model->now_ms };

  memcpy (sample.sightings, report->sightings,
          report->count * sizeof *report->sightings);
  sample.cut = report->doubted * 2 > report->used;
  for (int to = 0; to < HOSTS; to++)
    {
      if (to == from || chance (model, 100))
        continue;
      post (model, from, to, &sample);
      if (chance (model, 100))
        post (model, from, to, &sample);
    }
}

static void
note_told (struct model *model, const struct message *message)
{
  for (size_t i = 0; i < message->report.count; i++)
    model->told[model->told_count++ % TOLD]
        = (struct told){ .from = message->from,
                         .to = message->to,
                         .worker = (int)message->sightings[i].worker - 1,
                         .id = message->id,
                         .kind = message->sightings[i].kind,
                         .told_ms = model->now_ms,
                         .since_ms
                         = model->now_ms - message->report.sightings[i].age_ms,
                         .cut = message->cut };
  if (model->told_count > TOLD)
    fail (model, "the model has no room");
}

static bool
was_delivered (const struct model *model, const struct message *message)
{
  for (size_t i = 0; i < model->told_count; i++)
    if (model->told[i].to == message->to && model->told[i].id == message->id)
      return true;
  return false;
}

static void
receive (struct model *model, struct message *message)
{
  struct mq_evidence_sighting sightings[MQ_EVIDENCE_SIGHTINGS_MAX];
  struct mq_evidence_report report = message->report;
  bool twice = was_delivered (model, message);
  enum mq_evidence_verdict verdict;

  message->used = false;
  message->report.sightings = message->sightings;
  memcpy (sightings, message->sightings, sizeof sightings);
  report.sightings = sightings;
  if (model->fault == FAULT_NEW_SERIALS)
    report.serial = 1000000 + ++model->next_id;
  if (model->fault == FAULT_AGES_OMITTED)
    for (size_t i = 0; i < report.count; i++)
      sightings[i].age_ms = 0;
  if (model->fault == FAULT_CUT_HOST_BELIEVED)
    report.used = 1000;
  verdict = mq_evidence_receive (model->hosts[message->to].evidence, &report,
                                 WORKERS, model->now_ms);
  if (verdict == MQ_EVIDENCE_TAKEN && twice)
    fail (model, "a message was taken twice");
  if (verdict == MQ_EVIDENCE_TAKEN && message->cut)
    fail (model, "a host that doubts most workers was believed");
  if (verdict != MQ_EVIDENCE_OLD)
    note_told (model, message);
}

static void
deliver (struct model *model)
{
  for (size_t i = 0; i < MESSAGES; i++)
    {
      struct message *message = &model->messages[i];

      if (message->used && message->arrives_ms <= model->now_ms
          && model->hosts[message->to].held_until_ms <= model->now_ms)
        receive (model, message);
    }
}

/* Use of workers */

static bool
is_silent (struct model *model, const struct host *host, int worker)
{
  return model->hangs_until_ms[worker] > model->now_ms
         || host->cut_until_ms > model->now_ms
         || (model->grey_until_ms[worker] > model->now_ms
             && chance (model, 500));
}

static void
use_worker (struct model *model, struct host *host, int worker)
{
  struct use *use = &host->uses[worker];

  if (chance (model, 300))
    {
      if (use->asked_ms == 0)
        use->asked_ms = model->now_ms;
      if (!is_silent (model, host, worker))
        {
          use->heard_ms = model->now_ms;
          use->asked_ms = 0;
        }
      else if (chance (model, 300))
        use->late_ms = model->now_ms;
    }
}

static void
scan_host (struct model *model, int number)
{
  struct host *host = &model->hosts[number];
  struct mq_evidence_report report;
  uint32_t receivers = model->fault == FAULT_NO_BOUND ? 1 : RECEIVERS;

  mq_evidence_scan_begin (host->evidence, model->now_ms);
  for (int w = 0; w < WORKERS; w++)
    {
      const struct use *use = &host->uses[w];

      if (use->asked_ms != 0 && model->now_ms - use->asked_ms > PATIENCE_MS)
        mq_evidence_scan_doubted (host->evidence, (uint64_t)w + 1,
                                  MQ_EVIDENCE_SILENT, use->asked_ms);
      else
        mq_evidence_scan_heard (host->evidence, (uint64_t)w + 1,
                                use->heard_ms);
      if (use->late_ms != 0)
        mq_evidence_scan_late (host->evidence, (uint64_t)w + 1, use->late_ms);
    }
  if (!mq_evidence_scan_end (host->evidence, receivers, &report))
    return;
  host->sent_bytes += RECEIVERS
                      * (MQ_EVIDENCE_FRAME_BYTES
                         + report.count * MQ_EVIDENCE_SIGHTING_BYTES);
  if (report.doubted * 2 > report.used)
    fail (model, "a host that doubts most workers told it");
  if (model->fault != FAULT_NOTHING_TOLD)
    send_report (model, number, &report);
}

/* Hosts other than TO that told it of WORKER lately.  KIND: only this kind, or
   MQ_EVIDENCE_KINDS.  AFTER_MS: only of what they saw later, at the latest
   when it was told.  */
static uint32_t
count_tellers (const struct model *model, int to, int worker, bool late,
               uint64_t after_ms)
{
  bool seen[HOSTS + 1] = { false };
  uint32_t count = 0;

  for (size_t i = 0; i < model->told_count; i++)
    {
      const struct told *told = &model->told[i];

      if (told->to != to || told->worker != worker || told->cut
          || (told->kind == MQ_EVIDENCE_LATE) != late
          || told->kind == MQ_EVIDENCE_ANSWERS || told->since_ms < after_ms
          || model->now_ms - told->told_ms >= FADE_MS || seen[told->from])
        continue;
      seen[told->from] = true;
      count++;
    }
  return count;
}

static void
check_bytes (struct model *model, const struct host *host)
{
  uint64_t ran_ms = model->now_ms - START_MS;

  if (host->sent_bytes
      > MQ_EVIDENCE_BURST_BYTES + (ran_ms * MQ_EVIDENCE_BYTES_PER_S) / 1000)
    fail (model, "more bytes than allowed");
}

static void
check_alone (struct model *model, struct use *use, uint32_t doubts,
             uint32_t tellers)
{
  if (doubts == 0 || tellers != 1)
    use->alone_ms = 0;
  else if (use->alone_ms == 0)
    use->alone_ms = model->now_ms;
  else if (model->now_ms - use->alone_ms > MQ_EVIDENCE_ALONE_MS + STEP_MS)
    fail (model, "one host alone leaves out a worker");
}

static void
check_worker (struct model *model, int number, int worker)
{
  struct host *host = &model->hosts[number];
  struct use *use = &host->uses[worker];
  bool stopped = model->fault == FAULT_CLOCK_STOPS;
  uint64_t now = stopped ? START_MS : model->now_ms;
  uint64_t heard_ms
      = model->fault == FAULT_OWN_SIGHT_IGNORED ? 0 : use->heard_ms;
  uint32_t doubts = mq_evidence_doubts (host->evidence, (uint64_t)worker + 1,
                                        heard_ms, now);
  uint32_t silent
      = count_tellers (model, number, worker, false, use->heard_ms);
  uint32_t late = count_tellers (model, number, worker, true, 0);

  if (model->fault == FAULT_ALONE_FOR_EVER && doubts == 0)
    doubts = silent == 1 ? 1 : 0;
  if (late > 0 && use->late_ms != 0 && model->now_ms - use->late_ms < FADE_MS)
    late++;
  if (doubts > silent && doubts > (late >= 2 ? late : 0))
    fail (model, "more hosts doubt a worker than told so");
  check_alone (model, use, doubts, late >= 2 ? 2 : silent);
  if (model->quiet && doubts > 0)
    fail (model, "doubt does not fade");
  if (doubts > 0 && use->asked_ms == 0
      && model->hangs_until_ms[worker] > model->now_ms)
    model->concluded++;
}

static void
check (struct model *model)
{
  for (int h = 0; h < HOSTS; h++)
    {
      check_bytes (model, &model->hosts[h]);
      for (int w = 0; w < WORKERS; w++)
        check_worker (model, h, w);
    }
}

/* A host that is slow itself, and of another release, tells that most workers
   don't answer.  */
static void
accuse_most (struct model *model)
{
  struct message sample = { .id = ++model->next_id, .cut = true };

  sample.report = (struct mq_evidence_report){ .host = HOSTS + 1,
                                               .run = 1,
                                               .serial = ++model->slow_serial,
                                               .used = WORKERS,
                                               .doubted = WORKERS - 1,
                                               .count = WORKERS - 1 };
  for (size_t i = 0; i < sample.report.count; i++)
    sample.sightings[i] = (struct mq_evidence_sighting){
      .worker = i + 1, .kind = MQ_EVIDENCE_SILENT, .age_ms = PATIENCE_MS
    };
  for (int to = 0; to < HOSTS; to++)
    post (model, HOSTS, to, &sample);
}

static void
make_trouble (struct model *model, TALLOC_CTX *ctx)
{
  int worker = (int)mq_random_below (&model->random, WORKERS);
  int host = (int)mq_random_below (&model->random, HOSTS);
  uint64_t until
      = model->now_ms + 500 + mq_random_below (&model->random, 8000);

  if (chance (model, 20))
    model->hangs_until_ms[worker] = until;
  if (chance (model, 10))
    model->grey_until_ms[worker] = until;
  if (chance (model, 4))
    model->hosts[host].cut_until_ms = until;
  if (chance (model, 4))
    model->hosts[host].held_until_ms = until - 400;
  if (chance (model, 5))
    accuse_most (model);
  if (chance (model, 3))
    start_host (model, ctx, host);
}

static void
step (struct model *model, TALLOC_CTX *ctx)
{
  if (model->trouble)
    make_trouble (model, ctx);
  deliver (model);
  for (int h = 0; h < HOSTS; h++)
    {
      if (model->hosts[h].held_until_ms > model->now_ms)
        continue;
      for (int w = 0; w < WORKERS; w++)
        use_worker (model, &model->hosts[h], w);
      scan_host (model, h);
    }
  check (model);
  model->now_ms += STEP_MS;
}

/* Drops what is too old to count, so that it is not looked through.  */
static void
forget_old (struct model *model)
{
  size_t kept = 0;

  for (size_t i = 0; i < model->told_count; i++)
    if (model->told[i].to >= 0
        && model->now_ms - model->told[i].told_ms < FADE_MS + LATE_MAX_MS)
      model->told[kept++] = model->told[i];
  model->told_count = kept;
}

/* After the trouble all workers answer, and doubt must fade.  */
static void
end_trouble (struct model *model)
{
  model->trouble = false;
  memset (model->hangs_until_ms, 0, sizeof model->hangs_until_ms);
  memset (model->grey_until_ms, 0, sizeof model->grey_until_ms);
  for (int h = 0; h < HOSTS; h++)
    {
      model->hosts[h].cut_until_ms = 0;
      model->hosts[h].held_until_ms = 0;
    }
}

/* Returns the first violation, NULL if there was none.  */
static const char *
walk (uint64_t seed, enum fault fault, uint32_t *concluded)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct model *model = talloc_zero (ctx, struct model);
  const char *error;

  *model = (struct model){
    .fault = fault, .random = seed, .now_ms = START_MS, .trouble = true
  };
  for (int h = 0; h < HOSTS; h++)
    start_host (model, ctx, h);
  for (int i = 0; i < STEPS && model->error == NULL; i++)
    {
      step (model, ctx);
      forget_old (model);
    }
  end_trouble (model);
  for (int i = 0; i < QUIET_STEPS && model->error == NULL; i++)
    {
      model->quiet = i * STEP_MS > FADE_MS + LATE_MAX_MS + 1000;
      step (model, ctx);
      forget_old (model);
    }
  *concluded = model->concluded;
  error = model->error;
  talloc_free (ctx);
  return error;
}

Test (evidence_model, random_walks)
{
  uint32_t concluded = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t more;
      const char *error = walk (seed, FAULT_NONE, &more);

      cr_expect_null (error, "seed %llu: %s", (unsigned long long)seed, error);
      concluded += more;
    }
  cr_expect_gt (concluded, 0);
}

/* Each injected fault must be detected: by a violation, or, where nothing is
   told, by hosts that never avoid a hanging worker.  */
Test (evidence_model, faults_are_detected)
{
  for (int fault = FAULT_NONE + 1; fault < FAULT_COUNT; fault++)
    {
      const char *error = NULL;
      uint32_t concluded = 0;
      uint64_t seed;

      for (seed = 1; seed <= FAULT_SEEDS && error == NULL; seed++)
        {
          uint32_t more;

          error = walk (seed, (enum fault)fault, &more);
          concluded += more;
          if (fault == FAULT_NOTHING_TOLD && error == NULL && more == 0)
            error = "no conclusion";
        }
      cr_expect_not_null (error, "%s", fault_names[fault]);
    }
}
