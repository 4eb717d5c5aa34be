/* fuzz_relay.c - frames from other routing hosts (relay_frame.c).

   Input: one frame without its length prefix.
   Needs: fuzz.h, relay_frame.h, frame.h.  */

#include "fuzz.h"
#include "net/frame.h"
#include "router/relay_frame.h"
#include <string.h>

FUZZ_MAIN (relay)

static void
check_entries (const struct mq_rows_entry *entries, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      FUZZ_CHECK (entries[i].table != NULL && entries[i].part != NULL);
      FUZZ_CHECK (entries[i].key != NULL);
      FUZZ_CHECK (entries[i].value.len == 0 || entries[i].value.data != NULL);
    }
}

static void
check_loan_reply (const struct mq_relay_loan_reply *reply)
{
  FUZZ_CHECK (reply->program != NULL);
  FUZZ_CHECK (reply->turn != NULL);
  FUZZ_CHECK (reply->history.len == 0 || reply->history.data != NULL);
  FUZZ_CHECK (reply->record.len == 0 || reply->record.data != NULL);
}

static void
check_frame (const struct mq_relay_frame *frame)
{
  switch (frame->kind)
    {
    case MQ_RELAY_CALL_REQUEST:
      FUZZ_CHECK (frame->u.call_request.count > 0);
      check_entries (frame->u.call_request.entries,
                     frame->u.call_request.count);
      return;
    case MQ_RELAY_CALL_REPLY:
      FUZZ_CHECK (frame->u.call_reply.result.status <= MQ_STORE_LOST);
      check_entries (frame->u.call_reply.result.rows,
                     frame->u.call_reply.result.row_count);
      return;
    case MQ_RELAY_STATE:
      for (size_t i = 0; i < frame->u.state.worker_count; i++)
        FUZZ_CHECK (frame->u.state.workers[i].address != NULL);
      return;
    case MQ_RELAY_LOAN_REQUEST:
      FUZZ_CHECK (frame->u.loan_request.program != NULL);
      FUZZ_CHECK (frame->u.loan_request.turn != NULL);
      return;
    case MQ_RELAY_LOAN_REPLY:
      check_loan_reply (&frame->u.loan_reply);
      return;
    case MQ_RELAY_HANDOVER:
      check_loan_reply (&frame->u.handover);
      return;
    case MQ_RELAY_LOAN_RETURN:
      FUZZ_CHECK (frame->u.loan_return.program != NULL);
      return;
    case MQ_RELAY_QUOTA_REQUEST:
      for (size_t i = 0; i < frame->u.quota_request.want_count; i++)
        FUZZ_CHECK (frame->u.quota_request.wants[i].organisation != NULL);
      return;
    case MQ_RELAY_QUOTA_REPLY:
      for (size_t i = 0; i < frame->u.quota_reply.gift_count; i++)
        FUZZ_CHECK (frame->u.quota_reply.gifts[i].organisation != NULL);
      return;
    case MQ_RELAY_QUOTA_RECALL:
      FUZZ_CHECK (frame->u.quota_recall.address != NULL);
      return;
    case MQ_RELAY_EVIDENCE:
      for (size_t i = 0; i < frame->u.evidence.count; i++)
        FUZZ_CHECK (frame->u.evidence.sightings[i].kind <= MQ_EVIDENCE_KINDS);
      return;
    case MQ_RELAY_RUN_ENDS:
      for (size_t i = 0; i < frame->u.run_ends.count; i++)
        FUZZ_CHECK (frame->u.run_ends.ends[i].state <= MQ_SUSPECTS_STATES);
      return;
    case MQ_RELAY_SYNC:
    case MQ_RELAY_LEASE:
    case MQ_RELAY_UNKNOWN:
      return;
    }
  FUZZ_CHECK (false);
}

/* Packing and unpacking an accepted frame is lossless.  */
static void
check_round_trip (TALLOC_CTX *ctx, const struct mq_relay_frame *frame)
{
  struct mq_bytes bytes = mq_relay_frame_pack (ctx, frame);
  struct mq_relay_frame *again
      = mq_relay_frame_unpack (ctx, bytes.data + MQ_FRAME_HEADER_BYTES,
                               bytes.len - MQ_FRAME_HEADER_BYTES);
  struct mq_bytes twice;

  FUZZ_CHECK (again != NULL && again->kind == frame->kind);
  twice = mq_relay_frame_pack (ctx, again);
  FUZZ_CHECK (twice.len == bytes.len
              && memcmp (twice.data, bytes.data, bytes.len) == 0);
}

bool
fuzz_relay (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_relay_frame *frame = mq_relay_frame_unpack (ctx, data, len);
  bool accepted = frame != NULL && frame->kind != MQ_RELAY_UNKNOWN;

  if (frame != NULL)
    check_frame (frame);
  if (accepted)
    check_round_trip (ctx, frame);
  talloc_free (ctx);
  return accepted;
}
