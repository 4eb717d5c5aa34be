/* relay_frame.c - encoding of messages between routing hosts;
   relay_frame_read.c decodes them.

   Needs: relay_frame.h, frame.h, memory.h, proto/relay.pb-c.h.  */

#include "relay_frame.h"
#include "../../proto/relay.pb-c.h"
#include "core/memory.h"
#include "net/frame.h"

/* protobuf-c declares strings as mutable but does not change them.  */
static char *
text_field (const char *text)
{
  return (char *)(uintptr_t)(text == NULL ? "" : text);
}

static void
fill_entry (Mqrelay__Entry *to, const struct mq_rows_entry *from)
{
  mqrelay__entry__init (to);
  to->table = text_field (from->table);
  to->part = text_field (from->part);
  to->key = text_field (from->key);
  to->version = from->version;
  to->value.data = from->value.data;
  to->value.len = from->value.len;
  to->remove = from->remove;
}

/* Array of pointers to COUNT uninitialised messages of SIZE bytes.  */
static void *
make_list (TALLOC_CTX *ctx, size_t count, size_t size)
{
  char *all = mq_check_alloc (talloc_size (ctx, (count + 1) * size));
  void **list = mq_check_alloc (talloc_array (ctx, void *, count + 1));

  for (size_t i = 0; i < count; i++)
    list[i] = all + i * size;
  return list;
}

static Mqrelay__Entry **
make_entries (TALLOC_CTX *ctx, const struct mq_rows_entry *entries,
              size_t count)
{
  Mqrelay__Entry **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    fill_entry (list[i], &entries[i]);
  return list;
}

static void
fill_worker (Mqrelay__Worker *to, const struct mq_fleet_member *from)
{
  mqrelay__worker__init (to);
  to->id = text_field (from->id);
  to->service = text_field (from->service);
  to->address = text_field (from->address);
  to->data_centre = text_field (from->data_centre);
  to->slots = from->slots;
  to->leaving = from->leaving;
  to->born_ms = from->born_ms;
  to->version = text_field (from->version);
  to->tells_version = from->version != NULL;
}

static Mqrelay__Worker **
make_workers (TALLOC_CTX *ctx, const struct mq_fleet_member *workers,
              size_t count)
{
  Mqrelay__Worker **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    fill_worker (list[i], &workers[i]);
  return list;
}

static struct mq_bytes
pack (TALLOC_CTX *ctx, const Mqrelay__Frame *frame)
{
  size_t len = mqrelay__frame__get_packed_size (frame);
  uint8_t *bytes
      = mq_check_alloc (talloc_size (ctx, len + MQ_FRAME_HEADER_BYTES));

  for (size_t i = 0; i < MQ_FRAME_HEADER_BYTES; i++)
    bytes[i] = (uint8_t)(len >> (8 * (MQ_FRAME_HEADER_BYTES - 1 - i)));
  mqrelay__frame__pack (frame, bytes + MQ_FRAME_HEADER_BYTES);
  return (struct mq_bytes){ bytes, len + MQ_FRAME_HEADER_BYTES };
}

static struct mq_bytes
pack_call_request (TALLOC_CTX *ctx,
                   const struct mq_relay_call_request *request)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Ask to = MQRELAY__ASK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_ASK;
  frame.ask = &to;
  to.id = request->id;
  to.commit = request->commit;
  to.entries = make_entries (ctx, request->entries, request->count);
  to.n_entries = request->count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_call_reply (TALLOC_CTX *ctx, const struct mq_relay_call_reply *reply)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Told to = MQRELAY__TOLD__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_TOLD;
  frame.told = &to;
  to.id = reply->id;
  to.status = reply->result.status;
  to.version = reply->result.version;
  to.rows = make_entries (ctx, reply->result.rows, reply->result.row_count);
  to.n_rows = reply->result.row_count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_sync (TALLOC_CTX *ctx, const struct mq_relay_sync *sync)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Sync to = MQRELAY__SYNC__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_SYNC;
  frame.sync = &to;
  to.config_version = sync->config_version;
  to.workers_digest = sync->workers_digest;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_state (TALLOC_CTX *ctx, const struct mq_relay_state *state)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__State to = MQRELAY__STATE__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_STATE;
  frame.state = &to;
  to.config.data = state->config.data;
  to.config.len = state->config.len;
  to.same_workers = state->same_workers;
  to.workers = make_workers (ctx, state->workers, state->worker_count);
  to.n_workers = state->worker_count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_loan_request (TALLOC_CTX *ctx,
                   const struct mq_relay_loan_request *request)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanAsk to = MQRELAY__LOAN_ASK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_LOAN_ASK;
  frame.loan_ask = &to;
  to.id = request->id;
  to.run = text_field (request->program);
  to.limit = request->limit;
  to.most = request->tokens;
  to.turn = text_field (request->turn);
  to.issue = request->may_issue;
  to.move = request->move;
  return pack (ctx, &frame);
}

static Mqrelay__LoanTold
make_loan_reply (const struct mq_relay_loan_reply *reply)
{
  Mqrelay__LoanTold to = MQRELAY__LOAN_TOLD__INIT;

  to.id = reply->id;
  to.run = text_field (reply->program);
  to.tokens = reply->tokens;
  to.over = reply->issue_forbidden;
  to.home = reply->home;
  to.home_full = reply->home_full;
  to.stream_version = reply->stream_version;
  to.turn = text_field (reply->turn);
  to.history.data = reply->history.data;
  to.history.len = reply->history.len;
  to.record.data = reply->record.data;
  to.record.len = reply->record.len;
  to.version = reply->record_version;
  return to;
}

static struct mq_bytes
pack_loan_reply (TALLOC_CTX *ctx, const struct mq_relay_loan_reply *reply)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanTold to = make_loan_reply (reply);

  frame.body_case = MQRELAY__FRAME__BODY_LOAN_TOLD;
  frame.loan_told = &to;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_handover (TALLOC_CTX *ctx, const struct mq_relay_loan_reply *handover)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanTold to = make_loan_reply (handover);

  frame.body_case = MQRELAY__FRAME__BODY_HANDOVER;
  frame.handover = &to;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_loan_return (TALLOC_CTX *ctx, const struct mq_relay_loan_return *returned)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanBack to = MQRELAY__LOAN_BACK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_LOAN_BACK;
  frame.loan_back = &to;
  to.run = text_field (returned->program);
  to.tokens = returned->tokens;
  return pack (ctx, &frame);
}

static Mqrelay__QuotaWant **
make_wants (TALLOC_CTX *ctx, const struct mq_quota_request *wants,
            size_t count)
{
  Mqrelay__QuotaWant **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    {
      mqrelay__quota_want__init (list[i]);
      list[i]->organisation = text_field (wants[i].organisation);
      list[i]->need = wants[i].need;
      list[i]->begins = wants[i].begins;
      list[i]->ahead = wants[i].ahead;
      list[i]->unused = wants[i].unused;
      list[i]->surrendered = wants[i].surrendered;
      list[i]->holds = wants[i].holds;
      list[i]->begun = wants[i].begun;
      list[i]->continued = wants[i].continued;
      list[i]->further = wants[i].program.further;
      list[i]->life_ms = wants[i].program.life_ms;
      list[i]->single = wants[i].single;
    }
  return list;
}

static struct mq_bytes
pack_quota_request (TALLOC_CTX *ctx,
                    const struct mq_relay_quota_request *request)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__QuotaAsk to = MQRELAY__QUOTA_ASK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_QUOTA_ASK;
  frame.quota_ask = &to;
  to.id = request->id;
  to.host = request->run_id;
  to.heard_ms = request->acked_ms;
  to.server = request->issuer_run_id;
  to.wants = make_wants (ctx, request->wants, request->want_count);
  to.n_wants = request->want_count;
  to.listed = request->listed;
  to.recalled = request->recalled;
  return pack (ctx, &frame);
}

static Mqrelay__QuotaGift **
make_gifts (TALLOC_CTX *ctx, const struct mq_quota_grant *gifts, size_t count)
{
  Mqrelay__QuotaGift **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    {
      mqrelay__quota_gift__init (list[i]);
      list[i]->organisation = text_field (gifts[i].organisation);
      list[i]->unknown = gifts[i].unknown;
      list[i]->need = gifts[i].need;
      list[i]->begins = gifts[i].begins;
      list[i]->ahead = gifts[i].ahead;
      list[i]->retry_ms = gifts[i].retry_ms;
      list[i]->empty = gifts[i].empty;
      list[i]->standing = gifts[i].standing;
      list[i]->standing_ms = gifts[i].standing_ms;
      list[i]->between_ms = gifts[i].between_ms;
    }
  return list;
}

static struct mq_bytes
pack_quota_reply (TALLOC_CTX *ctx, const struct mq_relay_quota_reply *reply)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__QuotaTold to = MQRELAY__QUOTA_TOLD__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_QUOTA_TOLD;
  frame.quota_told = &to;
  to.id = reply->id;
  to.server = reply->issuer_run_id;
  to.told_ms = reply->sent_ms;
  to.gifts = make_gifts (ctx, reply->gifts, reply->gift_count);
  to.n_gifts = reply->gift_count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_quota_recall (TALLOC_CTX *ctx, const struct mq_relay_quota_recall *recall)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__QuotaRecall to = MQRELAY__QUOTA_RECALL__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_QUOTA_RECALL;
  frame.quota_recall = &to;
  to.server = recall->issuer_run_id;
  to.address = text_field (recall->address);
  return pack (ctx, &frame);
}

static Mqrelay__Sighting **
make_sightings (TALLOC_CTX *ctx, const struct mq_evidence_report *report)
{
  Mqrelay__Sighting **list = mq_check_alloc (
      talloc_zero_array (ctx, Mqrelay__Sighting *, report->count + 1));

  for (size_t i = 0; i < report->count; i++)
    {
      list[i] = mq_check_alloc (talloc (list, Mqrelay__Sighting));
      mqrelay__sighting__init (list[i]);
      list[i]->worker = report->sightings[i].worker;
      list[i]->kind = (uint32_t)report->sightings[i].kind;
      list[i]->age_ms = report->sightings[i].age_ms;
    }
  return list;
}

static struct mq_bytes
pack_evidence (TALLOC_CTX *ctx, const struct mq_evidence_report *report)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Evidence to = MQRELAY__EVIDENCE__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_EVIDENCE;
  frame.evidence = &to;
  to.host = report->host;
  to.run = report->run;
  to.serial = report->serial;
  to.used = report->used;
  to.doubted = report->doubted;
  to.sightings = make_sightings (ctx, report);
  to.n_sightings = report->count;
  return pack (ctx, &frame);
}

static void
fill_run_end (Mqrelay__RunEnd *to, const struct mq_suspects_end *from)
{
  mqrelay__run_end__init (to);
  to->work_hi = from->work.hi;
  to->work_lo = from->work.lo;
  to->worker = from->worker;
  to->worker_id = from->worker_id;
  to->ran_ms = from->ran_ms;
  to->age_ms = from->age_ms;
  to->state = (uint32_t)from->state;
  to->lost = from->lost;
}

static struct mq_bytes
pack_run_ends (TALLOC_CTX *ctx, const struct mq_relay_run_ends *ends)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__RunEnds to = MQRELAY__RUN_ENDS__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_RUN_ENDS;
  frame.run_ends = &to;
  to.wanted = ends->wanted;
  to.address = text_field (ends->address);
  to.written_s = ends->written_s;
  to.written_ms = ends->written_ms;
  to.ends = make_list (ctx, ends->count, sizeof **to.ends);
  to.n_ends = ends->count;
  for (size_t i = 0; i < ends->count; i++)
    fill_run_end (to.ends[i], &ends->ends[i]);
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_lease_handover (TALLOC_CTX *ctx,
                     const struct mq_relay_lease_handover *handover)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LeaseHandover to = MQRELAY__LEASE_HANDOVER__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_LEASE_HANDOVER;
  frame.lease_handover = &to;
  to.slot = handover->slot;
  to.version = handover->version;
  to.row.data = handover->row.data;
  to.row.len = handover->row.len;
  return pack (ctx, &frame);
}

/* Packs FRAME; the bytes and all temporary data are allocated below CTX.  */
static struct mq_bytes
pack_body (TALLOC_CTX *ctx, const struct mq_relay_frame *frame)
{
  switch (frame->kind)
    {
    case MQ_RELAY_CALL_REQUEST:
      return pack_call_request (ctx, &frame->u.call_request);
    case MQ_RELAY_CALL_REPLY:
      return pack_call_reply (ctx, &frame->u.call_reply);
    case MQ_RELAY_SYNC:
      return pack_sync (ctx, &frame->u.sync);
    case MQ_RELAY_STATE:
      return pack_state (ctx, &frame->u.state);
    case MQ_RELAY_LOAN_REQUEST:
      return pack_loan_request (ctx, &frame->u.loan_request);
    case MQ_RELAY_LOAN_REPLY:
      return pack_loan_reply (ctx, &frame->u.loan_reply);
    case MQ_RELAY_LOAN_RETURN:
      return pack_loan_return (ctx, &frame->u.loan_return);
    case MQ_RELAY_HANDOVER:
      return pack_handover (ctx, &frame->u.handover);
    case MQ_RELAY_QUOTA_REQUEST:
      return pack_quota_request (ctx, &frame->u.quota_request);
    case MQ_RELAY_QUOTA_REPLY:
      return pack_quota_reply (ctx, &frame->u.quota_reply);
    case MQ_RELAY_QUOTA_RECALL:
      return pack_quota_recall (ctx, &frame->u.quota_recall);
    case MQ_RELAY_EVIDENCE:
      return pack_evidence (ctx, &frame->u.evidence);
    case MQ_RELAY_RUN_ENDS:
      return pack_run_ends (ctx, &frame->u.run_ends);
    case MQ_RELAY_LEASE:
      return pack_lease_handover (ctx, &frame->u.lease_handover);
    case MQ_RELAY_UNKNOWN:
      break;
    }
  return (struct mq_bytes){ NULL, 0 };
}

/* The caller frees the bytes only, so temporary data is freed here: otherwise
   memory would grow with every frame.  */
struct mq_bytes
mq_relay_frame_pack (TALLOC_CTX *ctx, const struct mq_relay_frame *frame)
{
  TALLOC_CTX *scratch = mq_check_alloc (talloc_new (NULL));
  struct mq_bytes bytes = pack_body (scratch, frame);

  talloc_steal (ctx, bytes.data);
  talloc_free (scratch);
  return bytes;
}
