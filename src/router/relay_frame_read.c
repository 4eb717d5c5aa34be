/* relay_frame_read.c - decoding of messages between routing hosts.

   Needs: relay_frame.h, memory.h, proto/relay.pb-c.h.  */

#include "relay_frame.h"
#include "../../proto/relay.pb-c.h"
#include "core/memory.h"

static struct mq_rows_entry *
read_entries (TALLOC_CTX *ctx, Mqrelay__Entry *const *list, size_t count)
{
  struct mq_rows_entry *entries = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_rows_entry, count + 1));

  for (size_t i = 0; i < count; i++)
    entries[i] = (struct mq_rows_entry){
      .table = list[i]->table,
      .part = list[i]->part,
      .key = list[i]->key,
      .version = list[i]->version,
      .value = { list[i]->value.data, list[i]->value.len },
      .remove = list[i]->remove,
    };
  return entries;
}

static struct mq_fleet_member *
read_workers (TALLOC_CTX *ctx, Mqrelay__Worker *const *list, size_t count)
{
  struct mq_fleet_member *workers = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_fleet_member, count + 1));

  for (size_t i = 0; i < count; i++)
    workers[i] = (struct mq_fleet_member){
      .id = list[i]->id,
      .service = list[i]->service,
      .address = list[i]->address,
      .data_centre = list[i]->data_centre,
      .slots = list[i]->slots,
      .leaving = list[i]->leaving,
      .born_ms = list[i]->born_ms,
      .version = list[i]->tells_version ? list[i]->version : NULL,
    };
  return workers;
}

/* An unknown status is treated as LOST.  */
static void
read_call_reply (struct mq_relay_frame *to, const Mqrelay__Told *from)
{
  to->kind = MQ_RELAY_CALL_REPLY;
  to->u.call_reply.id = from->id;
  to->u.call_reply.result = (struct mq_rows_result){
    .status = from->status > MQ_STORE_REJECTED
                  ? MQ_STORE_LOST
                  : (enum mq_store_status)from->status,
    .version = from->version,
    .rows = read_entries (to, from->rows, from->n_rows),
    .row_count = from->n_rows,
  };
}

static bool
read_call_request (struct mq_relay_frame *to, const Mqrelay__Ask *from)
{
  to->kind = MQ_RELAY_CALL_REQUEST;
  to->u.call_request = (struct mq_relay_call_request){
    .id = from->id,
    .commit = from->commit,
    .entries = read_entries (to, from->entries, from->n_entries),
    .count = from->n_entries,
  };
  return from->n_entries > 0;
}

static void
read_loan_request (struct mq_relay_frame *to, const Mqrelay__LoanAsk *from)
{
  to->kind = MQ_RELAY_LOAN_REQUEST;
  to->u.loan_request = (struct mq_relay_loan_request){
    .id = from->id,
    .program = from->run,
    .limit = from->limit,
    .tokens = from->most,
    .turn = from->turn,
    .may_issue = from->issue,
    .move = from->move,
  };
}

static struct mq_relay_loan_reply
read_loan_reply (const Mqrelay__LoanTold *from)
{
  return (struct mq_relay_loan_reply){
    .id = from->id,
    .program = from->run,
    .tokens = from->tokens,
    .issue_forbidden = from->over,
    .home = from->home,
    .home_full = from->home_full,
    .stream_version = from->stream_version,
    .turn = from->turn,
    .history = { from->history.data, from->history.len },
    .record = { from->record.data, from->record.len },
    .record_version = from->version,
  };
}

static void
read_quota_request (struct mq_relay_frame *to, const Mqrelay__QuotaAsk *from)
{
  struct mq_quota_request *wants = mq_check_alloc (
      talloc_zero_array (to, struct mq_quota_request, from->n_wants + 1));

  for (size_t i = 0; i < from->n_wants; i++)
    wants[i] = (struct mq_quota_request){
      .organisation = from->wants[i]->organisation,
      .need = from->wants[i]->need,
      .begins = from->wants[i]->begins,
      .ahead = from->wants[i]->ahead,
      .unused = from->wants[i]->unused,
      .surrendered = from->wants[i]->surrendered,
      .holds = from->wants[i]->holds,
      .begun = from->wants[i]->begun,
      .continued = from->wants[i]->continued,
      .program = { from->wants[i]->further, from->wants[i]->life_ms },
      .single = from->wants[i]->single,
    };
  to->kind = MQ_RELAY_QUOTA_REQUEST;
  to->u.quota_request = (struct mq_relay_quota_request){
    .id = from->id,
    .run_id = from->host,
    .acked_ms = from->heard_ms,
    .issuer_run_id = from->server,
    .wants = wants,
    .want_count = from->n_wants,
    .listed = from->listed,
    .recalled = from->recalled,
  };
}

static void
read_quota_reply (struct mq_relay_frame *to, const Mqrelay__QuotaTold *from)
{
  struct mq_quota_grant *gifts = mq_check_alloc (
      talloc_zero_array (to, struct mq_quota_grant, from->n_gifts + 1));

  for (size_t i = 0; i < from->n_gifts; i++)
    gifts[i] = (struct mq_quota_grant){
      .organisation = from->gifts[i]->organisation,
      .unknown = from->gifts[i]->unknown,
      .need = from->gifts[i]->need,
      .begins = from->gifts[i]->begins,
      .ahead = from->gifts[i]->ahead,
      .retry_ms = from->gifts[i]->retry_ms,
      .empty = from->gifts[i]->empty,
      .standing = from->gifts[i]->standing,
      .standing_ms = from->gifts[i]->standing_ms,
      .between_ms = from->gifts[i]->between_ms,
    };
  to->kind = MQ_RELAY_QUOTA_REPLY;
  to->u.quota_reply = (struct mq_relay_quota_reply){
    .id = from->id,
    .issuer_run_id = from->server,
    .sent_ms = from->told_ms,
    .gifts = gifts,
    .gift_count = from->n_gifts,
  };
}

static void
read_evidence (struct mq_relay_frame *to, const Mqrelay__Evidence *from)
{
  struct mq_evidence_sighting *sightings = mq_check_alloc (talloc_zero_array (
      to, struct mq_evidence_sighting, from->n_sightings + 1));

  for (size_t i = 0; i < from->n_sightings; i++)
    sightings[i] = (struct mq_evidence_sighting){
      .worker = from->sightings[i]->worker,
      .kind = from->sightings[i]->kind < MQ_EVIDENCE_KINDS
                  ? (enum mq_evidence_kind)from->sightings[i]->kind
                  : MQ_EVIDENCE_KINDS,
      .age_ms = from->sightings[i]->age_ms,
    };
  to->kind = MQ_RELAY_EVIDENCE;
  to->u.evidence = (struct mq_evidence_report){
    .host = from->host,
    .run = from->run,
    .serial = from->serial,
    .used = from->used,
    .doubted = from->doubted,
    .sightings = sightings,
    .count = from->n_sightings,
  };
}

/* A state of a newer release is out of range.  */
static struct mq_suspects_end
read_run_end (const Mqrelay__RunEnd *from)
{
  return (struct mq_suspects_end){
    .work = { .hi = from->work_hi, .lo = from->work_lo },
    .worker = from->worker,
    .worker_id = from->worker_id,
    .ran_ms = from->ran_ms,
    .age_ms = from->age_ms,
    .state = from->state < MQ_SUSPECTS_STATES
                 ? (enum mq_suspects_state)from->state
                 : MQ_SUSPECTS_STATES,
    .lost = from->lost,
  };
}

static void
read_run_ends (struct mq_relay_frame *to, const Mqrelay__RunEnds *from)
{
  struct mq_suspects_end *ends = mq_check_alloc (
      talloc_zero_array (to, struct mq_suspects_end, from->n_ends + 1));

  for (size_t i = 0; i < from->n_ends; i++)
    ends[i] = read_run_end (from->ends[i]);
  to->kind = MQ_RELAY_RUN_ENDS;
  to->u.run_ends = (struct mq_relay_run_ends){
    .wanted = from->wanted,
    .address = from->address,
    .ends = ends,
    .count = from->n_ends,
    .written_s = from->written_s,
    .written_ms = from->written_ms,
  };
}

static bool
read_body (struct mq_relay_frame *to, const Mqrelay__Frame *from)
{
  switch (from->body_case)
    {
    case MQRELAY__FRAME__BODY_ASK:
      return read_call_request (to, from->ask);
    case MQRELAY__FRAME__BODY_TOLD:
      read_call_reply (to, from->told);
      return true;
    case MQRELAY__FRAME__BODY_SYNC:
      to->kind = MQ_RELAY_SYNC;
      to->u.sync = (struct mq_relay_sync){ from->sync->config_version,
                                           from->sync->workers_digest };
      return true;
    case MQRELAY__FRAME__BODY_STATE:
      to->kind = MQ_RELAY_STATE;
      to->u.state = (struct mq_relay_state){
        .config = { from->state->config.data, from->state->config.len },
        .same_workers = from->state->same_workers,
        .workers
        = read_workers (to, from->state->workers, from->state->n_workers),
        .worker_count = from->state->n_workers,
      };
      return true;
    case MQRELAY__FRAME__BODY_LOAN_ASK:
      read_loan_request (to, from->loan_ask);
      return true;
    case MQRELAY__FRAME__BODY_LOAN_TOLD:
      to->kind = MQ_RELAY_LOAN_REPLY;
      to->u.loan_reply = read_loan_reply (from->loan_told);
      return true;
    case MQRELAY__FRAME__BODY_HANDOVER:
      to->kind = MQ_RELAY_HANDOVER;
      to->u.handover = read_loan_reply (from->handover);
      return true;
    case MQRELAY__FRAME__BODY_LOAN_BACK:
      to->kind = MQ_RELAY_LOAN_RETURN;
      to->u.loan_return
          = (struct mq_relay_loan_return){ from->loan_back->run,
                                           from->loan_back->tokens };
      return true;
    case MQRELAY__FRAME__BODY_QUOTA_ASK:
      read_quota_request (to, from->quota_ask);
      return true;
    case MQRELAY__FRAME__BODY_QUOTA_TOLD:
      read_quota_reply (to, from->quota_told);
      return true;
    case MQRELAY__FRAME__BODY_QUOTA_RECALL:
      to->kind = MQ_RELAY_QUOTA_RECALL;
      to->u.quota_recall
          = (struct mq_relay_quota_recall){ from->quota_recall->server,
                                            from->quota_recall->address };
      return true;
    case MQRELAY__FRAME__BODY_EVIDENCE:
      read_evidence (to, from->evidence);
      return true;
    case MQRELAY__FRAME__BODY_RUN_ENDS:
      read_run_ends (to, from->run_ends);
      return true;
    case MQRELAY__FRAME__BODY_LEASE_HANDOVER:
      to->kind = MQ_RELAY_LEASE;
      to->u.lease_handover = (struct mq_relay_lease_handover){
        .slot = from->lease_handover->slot,
        .version = from->lease_handover->version,
        .row
        = { from->lease_handover->row.data, from->lease_handover->row.len },
      };
      return true;
    default:
      to->kind = MQ_RELAY_UNKNOWN;
      return true;
    }
}

/**
 * struct holder - owner of the decoded message that a frame points into
 */
struct holder
{
  Mqrelay__Frame *frame;
};

static int
free_holder (struct holder *holder)
{
  mqrelay__frame__free_unpacked (holder->frame, NULL);
  return 0;
}

struct mq_relay_frame *
mq_relay_frame_unpack (TALLOC_CTX *ctx, const uint8_t *data, size_t len)
{
  struct mq_relay_frame *frame
      = mq_check_alloc (talloc_zero (ctx, struct mq_relay_frame));
  struct holder *holder = mq_check_alloc (talloc_zero (frame, struct holder));

  holder->frame = mqrelay__frame__unpack (NULL, len, data);
  if (holder->frame != NULL)
    talloc_set_destructor (holder, free_holder);
  if (holder->frame != NULL && read_body (frame, holder->frame))
    return frame;
  talloc_free (frame);
  return NULL;
}
