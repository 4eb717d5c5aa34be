/* gate_load.c - load reports to owners and the status for operators.

   Needs: gate_state.h, jansson.  */

#include "gate_state.h"
#include <jansson.h>

enum
{
  SMOOTHING_FACTOR = 8,    /* a new sample has a weight of 1/8 */
  PREFILL_TOKENS_MIN = 64, /* minimum sample for the prefill rate */
  DECODE_TOKENS_MIN = 4,   /* minimum sample for the decode time */
  LOAD_BASE_BYTES = 64,    /* fixed part of a LOAD frame */
  LOAD_WORKER_BYTES = 64   /* part of a LOAD frame for each worker */
};

static void
update_mean (uint64_t *mean, uint64_t sample)
{
  if (sample == 0)
    return;
  *mean = *mean == 0
              ? sample
              : (*mean * (SMOOTHING_FACTOR - 1) + sample) / SMOOTHING_FACTOR;
}

static void
record_model_rates (struct gate_worker *worker, const struct gate_run *run,
                    const struct mq_gate_done *done, uint64_t run_us)
{
  uint64_t first_us = run->first_us - run->started_us;
  uint32_t computed = done->tokens_in > done->cached_tokens
                          ? done->tokens_in - done->cached_tokens
                          : 0;

  if (computed >= PREFILL_TOKENS_MIN && first_us > 0)
    update_mean (&worker->prefill_rate, computed * 1000000ULL / first_us);
  if (done->tokens_out >= DECODE_TOKENS_MIN)
    update_mean (&worker->decode_us,
                 (run_us - first_us) / (done->tokens_out - 1));
}

void
mq_gate_load_record_run (struct gate_worker *worker,
                         const struct gate_run *run,
                         const struct mq_gate_done *done, uint64_t run_us)
{
  if (done->error != MQ_ERR_NONE)
    return;
  update_mean (&worker->mean_run_us, run_us);
  if (run->first_us != 0)
    record_model_rates (worker, run, done, run_us);
}

uint32_t
mq_gate_load_cache_used (const struct gate_worker *worker)
{
  uint64_t used = worker->held_tokens + worker->shared_tokens;

  return used > UINT32_MAX ? UINT32_MAX : (uint32_t)used;
}

static void
fill_load (const struct gate_worker *worker, struct mq_worker_load *load)
{
  load->worker = worker->index;
  load->service = worker->service;
  load->model = worker->model;
  load->slots = worker->up ? worker->slots : 0;
  load->running = worker->running;
  load->queued = worker->queued;
  load->cache_used = mq_gate_load_cache_used (worker);
  load->cache_total = worker->cache_tokens;
  load->prefill_rate = (uint32_t)worker->prefill_rate;
  load->decode_us = (uint32_t)worker->decode_us;
}

void
mq_gate_load_send (struct mq_gate *gate, uint32_t peer)
{
  struct mq_message message = { .type = MQ_MSG_LOAD };
  struct mq_load_msg *load = &message.u.load;

  load->boot = gate->boot;
  load->leaving = gate->leaving;
  load->worker_count = gate->worker_count;
  load->workers = mq_gate_alloc (
      gate, (gate->worker_count + 1) * sizeof load->workers[0],
      "struct mq_worker_load");
  for (size_t i = 0; i < gate->worker_count; i++)
    fill_load (&gate->workers[i], &load->workers[i]);
  mq_gate_send (gate, peer, &message);
  talloc_free (load->workers);
}

/* Minimum time between two load reports.  It grows with the number of peers to
   keep the total below MQ_GATE_LOAD_BYTES_S.  */
static uint64_t
min_interval_us (const struct mq_gate *gate)
{
  uint64_t bytes = LOAD_BASE_BYTES + gate->worker_count * LOAD_WORKER_BYTES;
  uint64_t interval_us
      = gate->peer_count * bytes * 1000000ULL / MQ_GATE_LOAD_BYTES_S;
  uint64_t min_us = MQ_GATE_LOAD_MIN_MS * MQ_US_PER_MS;

  return interval_us > min_us ? interval_us : min_us;
}

/* Time of the next load report.  */
uint64_t
mq_gate_load_due (const struct mq_gate *gate)
{
  uint64_t interval_us = min_interval_us (gate);
  uint64_t heartbeat_us = MQ_GATE_LOAD_INTERVAL_MS * MQ_US_PER_MS;

  if (!gate->load_dirty && heartbeat_us > interval_us)
    interval_us = heartbeat_us;
  return gate->load_sent_us + interval_us;
}

void
mq_gate_load_push (struct mq_gate *gate, bool immediately)
{
  if (!immediately && gate->now_us < mq_gate_load_due (gate))
    return;
  gate->load_sent_us = gate->now_us;
  gate->load_dirty = false;
  for (size_t i = 0; i < gate->peer_count; i++)
    mq_gate_load_send (gate, gate->peers[i]);
}

/* Status.  */

static const char *
kind_name (enum mq_service_kind kind)
{
  switch (kind)
    {
    case MQ_SERVICE_AGENT:
      return "agent";
    case MQ_SERVICE_MODEL:
      return "model";
    case MQ_SERVICE_PLAIN:
      return "plain";
    case MQ_SERVICE_TOOL:
      return "tool";
    }
  return "unknown";
}

static json_t *
pack_worker (const struct gate_worker *worker)
{
  struct mq_worker_load load;

  fill_load (worker, &load);
  return json_pack (
      "{s:i, s:s, s:s, s:s, s:b, s:i, s:i, s:i, s:I, s:I, s:i, s:I, s:I}",
      "worker", (int)load.worker, "service", load.service, "kind",
      kind_name (worker->kind), "model", load.model, "up", worker->up, "slots",
      (int)worker->slots, "running", (int)load.running, "queued",
      (int)load.queued, "cache_used", (json_int_t)load.cache_used,
      "cache_total", (json_int_t)load.cache_total, "programs_held",
      (int)worker->cached_programs.count, "prefill_rate",
      (json_int_t)load.prefill_rate, "decode_us", (json_int_t)load.decode_us);
}

static json_t *
pack_workers (const struct mq_gate *gate)
{
  json_t *workers = json_array ();

  for (size_t i = 0; i < gate->worker_count; i++)
    json_array_append_new (workers, pack_worker (&gate->workers[i]));
  return workers;
}

static json_t *
pack_counters (const struct mq_gate_counters *counters)
{
  json_t *object = json_object ();

#define PACK_COUNTER(name, help)                                              \
  json_object_set_new (object, #name,                                         \
                       json_integer ((json_int_t)counters->name));
  MQ_GATE_COUNTER_LIST (PACK_COUNTER)
#undef PACK_COUNTER
  return object;
}

char *
mq_gate_status_text (TALLOC_CTX *ctx, const struct mq_gate *gate)
{
  char *boot
      = talloc_asprintf (ctx, "%016llx", (unsigned long long)gate->boot);
  json_t *status = json_pack (
      "{s:s, s:s, s:b, s:b, s:I, s:I, s:o, s:o}", "host", gate->host, "boot",
      boot, "leaving", gate->leaving, "drained", mq_gate_is_drained (gate),
      "cache_ended_tokens", (json_int_t)gate->ended_tokens, "programs",
      (json_int_t)gate->programs.count, "workers", pack_workers (gate),
      "counters", pack_counters (&gate->counters));
  char *dumped = json_dumps (status, JSON_COMPACT);
  char *text = mq_gate_strdup (ctx, dumped);

  json_decref (status);
  free (dumped);
  talloc_free (boot);
  return text;
}
