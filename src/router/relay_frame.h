/* relay_frame.h - what routing hosts say to each other, packed for the wire.

   Needs: rows.h, fleet.h, quota.h, proto/relay.pb-c.h.  */

#ifndef MQ_RELAY_FRAME_H
#define MQ_RELAY_FRAME_H

#include "core/organisation/quota.h"
#include "core/router/fleet.h"
#include "rows.h"

/* Frames are bounded by what a transaction may carry, and some more.  */
#define MQ_RELAY_FRAME_MAX ((size_t)2 << 20)

enum mq_relay_kind
{
  MQ_RELAY_CALL_REQUEST,  /* make this call to the platform's table */
  MQ_RELAY_CALL_REPLY,    /* its outcome */
  MQ_RELAY_SYNC,          /* tell what is newer than this */
  MQ_RELAY_STATE,         /* the configuration and the workers */
  MQ_RELAY_LOAN_REQUEST,  /* lend tokens and a history for a turn */
  MQ_RELAY_LOAN_REPLY,    /* what is lent */
  MQ_RELAY_LOAN_RETURN,   /* what was not used of it */
  MQ_RELAY_QUOTA_REQUEST, /* issue permits for requests of organisations */
  MQ_RELAY_QUOTA_REPLY,   /* what is issued */
  MQ_RELAY_QUOTA_RECALL,  /* surrender what earlier runs lent */
  MQ_RELAY_UNKNOWN /* of a newer version of this program, to be ignored */
};

/**
 * struct mq_relay_call_request - a call that the sender can't make itself
 * @id: of the call, for @told
 * @commit: a transaction on the entries, else a read of the one
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
 * struct mq_relay_sync - what the asker knows
 * @config_version: of its configuration, 0: none
 * @workers_digest: of its workers (mq_fleet_digest), 0: none
 */
struct mq_relay_sync
{
  uint64_t config_version;
  uint64_t workers_digest;
};

/**
 * struct mq_relay_state - what a host whose own feeds are alive knows
 * @config: empty when the asker's is not older
 * @same_workers: the asker knows them: 6,000 workers are 600 kB, three times a
 *                second
 * @workers: else all that are listed
 */
struct mq_relay_state
{
  struct mq_bytes config;
  bool same_workers;
  const struct mq_fleet_member *workers;
  size_t worker_count;
};

/**
 * struct mq_relay_loan_request - what a turn lacks while the table is away
 * @id: of the question
 * @program: whose turn
 * @limit: of the program's budget
 * @most: tokens that are wanted
 * @turn: whose history is wanted, "": none
 * @issue: tokens may be issued by the host that holds the program's lease
 */
struct mq_relay_loan_request
{
  uint64_t id;
  const char *program;
  uint64_t limit;
  uint64_t most;
  const char *turn;
  bool issue;
};

/**
 * struct mq_relay_loan_reply - the answer
 * @id: of the question
 * @program: as it was asked for
 * @tokens: lent; whoever lent them has them no more
 * @over: no tokens may be issued: the record counts more than the limit, or
 * some were issued under a lease that has moved on
 * @turn: whose history follows, "": it is not known
 * @history: as a row of the table, with the whole text
 * @home: worker that has the program's cache, 0: not known
 */
struct mq_relay_loan_reply
{
  uint64_t id;
  const char *program;
  uint64_t tokens;
  bool over;
  const char *turn;
  struct mq_bytes history;
  uint64_t home;
};

/* Unused tokens of a loan on their way back.  */
struct mq_relay_loan_return
{
  const char *program;
  uint64_t tokens;
};

/**
 * struct mq_relay_quota_request - what a host wants of an issuer of permits
 * @id: of the question
 * @host: names this run of the asker
 * @heard_ms: what it heard last from the run @server of the issuer
 * @wants: their heard_ms is not told: it is that of the question
 * @listed: its row is in the table of hosts
 * @recalled: it holds nothing of other runs of the issuer
 */
struct mq_relay_quota_request
{
  uint64_t id;
  uint64_t host;
  uint64_t heard_ms;
  uint64_t server;
  const struct mq_quota_want *wants;
  size_t want_count;
  bool listed;
  bool recalled;
};

/**
 * struct mq_relay_quota_reply - the answer
 * @id: of the question
 * @server: names this run of the issuer
 * @told_ms: by its clock
 */
struct mq_relay_quota_reply
{
  uint64_t id;
  uint64_t server;
  uint64_t told_ms;
  const struct mq_quota_gift *gifts;
  size_t gift_count;
};

/**
 * struct mq_relay_quota_recall - an issuer asks what its earlier runs lent
 * @server: names this run
 * @address: where other hosts reach the issuer
 */
struct mq_relay_quota_recall
{
  uint64_t server;
  const char *address;
};

/**
 * struct mq_relay_frame - one message
 * @kind: which of @u
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
    struct mq_relay_quota_request quota_request;
    struct mq_relay_quota_reply quota_reply;
    struct mq_relay_quota_recall quota_recall;
  } u;
};

/* Bytes of FRAME with the length in front, below CTX; stops the process when
   memory is out.  */
struct mq_bytes mq_relay_frame_pack (TALLOC_CTX *ctx,
                                     const struct mq_relay_frame *frame);
/* Frame of the bytes behind the length, below CTX with all that it points at;
   NULL when they are none.  */
struct mq_relay_frame *mq_relay_frame_unpack (TALLOC_CTX *ctx,
                                              const uint8_t *data, size_t len);

#endif
