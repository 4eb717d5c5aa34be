/* relay_frame.h - messages between routing hosts and their encoding.

   Needs: rows.h, fleet.h, evidence.h, suspects.h, quota.h, proto/relay.pb-c.h.
 */

#ifndef MQ_RELAY_FRAME_H
#define MQ_RELAY_FRAME_H

#include "core/organisation/quota.h"
#include "core/router/evidence.h"
#include "core/router/fleet.h"
#include "core/router/suspects.h"
#include "rows.h"

/* Exceeds the largest transaction.  */
#define MQ_RELAY_FRAME_MAX ((size_t)2 << 20)

enum mq_relay_kind
{
  MQ_RELAY_CALL_REQUEST,  /* call to the platform's table */
  MQ_RELAY_CALL_REPLY,    /* result of the call */
  MQ_RELAY_SYNC,          /* request for newer state */
  MQ_RELAY_STATE,         /* configuration and workers */
  MQ_RELAY_LOAN_REQUEST,  /* request for tokens and a history */
  MQ_RELAY_LOAN_REPLY,    /* tokens and history lent */
  MQ_RELAY_LOAN_RETURN,   /* unused tokens returned */
  MQ_RELAY_HANDOVER,      /* state of a program after a turn */
  MQ_RELAY_QUOTA_REQUEST, /* request for permits */
  MQ_RELAY_QUOTA_REPLY,   /* permits issued */
  MQ_RELAY_QUOTA_RECALL,  /* recall of rates lent by earlier runs */
  MQ_RELAY_EVIDENCE,      /* what a host saw of workers */
  MQ_RELAY_RUN_ENDS,      /* ends of runs, or the request for them */
  MQ_RELAY_LEASE,         /* a lease of a host that stops */
  MQ_RELAY_UNKNOWN        /* from a newer version; ignored */
};

/**
 * struct mq_relay_call_request - a call made for another host
 * @id: returned in the reply
 * @commit: writes all entries in a transaction, else reads the only one
 */
struct mq_relay_call_request
{
  uint64_t id;
  bool commit;
  const struct mq_rows_entry *entries;
  size_t count;
};

struct mq_relay_call_reply
{
  uint64_t id;
  struct mq_rows_result result;
};

/**
 * struct mq_relay_sync - versions that the requester has
 * @config_version: 0 if it has no configuration
 * @workers_digest: mq_fleet_digest of its workers, 0 if it has none
 */
struct mq_relay_sync
{
  uint64_t config_version;
  uint64_t workers_digest;
};

/**
 * struct mq_relay_state - state of a host whose feeds work
 * @config: empty if the requester's is not older
 * @same_workers: the requester has the same workers, which are omitted
 * @workers: else all listed workers
 */
struct mq_relay_state
{
  struct mq_bytes config;
  bool same_workers;
  const struct mq_fleet_member *workers;
  size_t worker_count;
};

/**
 * struct mq_relay_loan_request - request for tokens or a history
 * @id: returned in the reply
 * @limit: budget limit of the program, tokens
 * @tokens: tokens requested
 * @turn: turn whose history is requested, "" if none
 * @may_issue: the lease holder of the program may issue unrecorded tokens
 * @move: requests all unused tokens and the budget record: the program
 *        continues at the requester
 */
struct mq_relay_loan_request
{
  uint64_t id;
  const char *program;
  uint64_t limit;
  uint64_t tokens;
  const char *turn;
  bool may_issue;
  bool move;
};

/**
 * struct mq_relay_loan_reply - reply to a loan request, or a handover
 * @tokens: tokens lent, already deducted from the lender's grant
 * @issue_forbidden: the budget is overdrawn, or its lease has moved
 * @turn: turn of @history, "" if not found
 * @history: encoded as a row of the table, with the full text
 * @home: worker that holds the program's cache, 0 if unknown
 * @home_full: @home has just rejected a turn of the program as full
 * @stream_version: as in struct mq_budget_record, 0 if unknown
 * @record: budget record of the program as in the table, empty if unknown
 * @record_version: version of @record
 */
struct mq_relay_loan_reply
{
  uint64_t id;
  const char *program;
  uint64_t tokens;
  bool issue_forbidden;
  const char *turn;
  struct mq_bytes history;
  uint64_t home;
  bool home_full;
  uint64_t stream_version;
  struct mq_bytes record;
  uint64_t record_version;
};

/* Unused tokens of a loan, returned to the lender.  */
struct mq_relay_loan_return
{
  const char *program;
  uint64_t tokens;
};

/**
 * struct mq_relay_quota_request - request for permits, and reply to a recall
 * @id: returned in the reply
 * @run_id: id of the requester's run
 * @acked_ms: sent_ms of the last reply from the run @issuer_run_id
 * @issuer_run_id: id of the issuer's run that replied last
 * @wants: their heard_ms is not sent; it equals @acked_ms
 * @listed: the requester has a row in the table of hosts
 * @recalled: the requester holds no rates from other runs of the issuer
 */
struct mq_relay_quota_request
{
  uint64_t id;
  uint64_t run_id;
  uint64_t acked_ms;
  uint64_t issuer_run_id;
  const struct mq_quota_request *wants;
  size_t want_count;
  bool listed;
  bool recalled;
};

/**
 * struct mq_relay_quota_reply - reply to a request for permits
 * @issuer_run_id: id of the issuer's run
 * @sent_ms: send time, issuer's clock
 */
struct mq_relay_quota_reply
{
  uint64_t id;
  uint64_t issuer_run_id;
  uint64_t sent_ms;
  const struct mq_quota_grant *gifts;
  size_t gift_count;
};

/**
 * struct mq_relay_quota_recall - recalls rates lent by earlier runs
 * @issuer_run_id: id of the issuer's run
 * @address: address of the issuer
 */
struct mq_relay_quota_recall
{
  uint64_t issuer_run_id;
  const char *address;
};

/**
 * struct mq_relay_run_ends - ends of runs at workers (suspects.h)
 * @wanted: requests those that the receiver knows and will see; there are no
 *          @ends
 * @address: address of the host that wants them, else ""
 * @written_s: time at which the row was written, by the table's clock; 0 in a
 *             message
 * @written_ms: likewise; 0 in a row of a host that tells seconds alone
 */
struct mq_relay_run_ends
{
  bool wanted;
  const char *address;
  const struct mq_suspects_end *ends;
  size_t count;
  uint64_t written_s;
  uint64_t written_ms;
};

/**
 * struct mq_relay_lease_handover - a lease of a host that stops (reserve.h)
 * @version: version of the slot's row
 * @row: the lease, serialized like that row
 */
struct mq_relay_lease_handover
{
  uint32_t slot;
  uint64_t version;
  struct mq_bytes row;
};

/**
 * struct mq_relay_frame - one message
 * @kind: selects the member of @u
 */
struct mq_relay_frame
{
  enum mq_relay_kind kind;
  union
  {
    struct mq_relay_call_request call_request;
    struct mq_relay_call_reply call_reply;
    struct mq_relay_sync sync;
    struct mq_relay_state state;
    struct mq_relay_loan_request loan_request;
    struct mq_relay_loan_reply loan_reply;
    struct mq_relay_loan_return loan_return;
    struct mq_relay_loan_reply handover;
    struct mq_relay_quota_request quota_request;
    struct mq_relay_quota_reply quota_reply;
    struct mq_relay_quota_recall quota_recall;
    struct mq_evidence_report evidence;
    struct mq_relay_run_ends run_ends;
    struct mq_relay_lease_handover lease_handover;
  } u;
};

/* Packs FRAME with a length prefix, below CTX.  Aborts if out of memory.  */
struct mq_bytes mq_relay_frame_pack (TALLOC_CTX *ctx,
                                     const struct mq_relay_frame *frame);
/* Unpacks the bytes after the length prefix, below CTX with all data that the
   frame points to; NULL if they are invalid.  */
struct mq_relay_frame *mq_relay_frame_unpack (TALLOC_CTX *ctx,
                                              const uint8_t *data, size_t len);

#endif
