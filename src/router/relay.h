/* relay.h - links between routing hosts.

   A host that can't reach the platform's table, or is turned away by it, has
   another host make its calls, and learns from it which configuration and
   workers are the newest.  Links are opened when they are needed, to a few
   hosts; a host that does not answer is left alone for a while.
   Needs: relay_frame.h, rows.h, tevent.  */

#ifndef MQ_RELAY_H
#define MQ_RELAY_H

#include "relay_frame.h"
#include "rows.h"

struct mq_relay;
struct mq_relay_call;
struct mq_relay_link;

/* An answer takes two hops and one call to the table.  */
#define MQ_RELAY_CALL_TIMEOUT_MS 500U
/* A host that failed is not asked again for so long.  */
#define MQ_RELAY_BACKOFF_MS 1000U

/**
 * struct mq_relay_owner - the router as the relay sees it
 * @sync: another host asks for what it does not know; answer with
 *        mq_relay_send_state, or not at all
 * @state: what another host knows
 * @loan_request: another host needs tokens or a history; answer with
 * mq_relay_send_loan_reply
 * @loan_reply: what the host at ADDRESS lends
 * @loan_return: what another host did not use of a loan
 * @quota_request: another host wants permits; answer with
 * mq_relay_send_quota_reply
 * @quota_reply: what the host at ADDRESS issues
 * @quota_recall: another host asks what its earlier runs lent; answer with
 *                mq_relay_send_recall_reply
 * @user: given to all of them
 */
struct mq_relay_owner
{
  void (*sync) (const struct mq_relay_sync *sync, struct mq_relay_link *link,
                void *user);
  void (*state) (const struct mq_relay_state *state, void *user);
  void (*loan_request) (const struct mq_relay_loan_request *ask,
                        struct mq_relay_link *link, void *user);
  void (*loan_reply) (const struct mq_relay_loan_reply *told,
                      const char *address, void *user);
  void (*loan_return) (const struct mq_relay_loan_return *back, void *user);
  void (*quota_request) (const struct mq_relay_quota_request *ask,
                         struct mq_relay_link *link, void *user);
  void (*quota_reply) (const struct mq_relay_quota_reply *told,
                       const char *address, void *user);
  void (*quota_recall) (const struct mq_relay_quota_recall *recall,
                        struct mq_relay_link *link, void *user);
  void *user;
};

/* Listens at ADDRESS, "IP:PORT"; NULL with ERROR set when it can't.  ROWS
   makes the calls of other hosts.  */
struct mq_relay *mq_relay_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                  const char *address, struct mq_rows *rows,
                                  const struct mq_relay_owner *owner,
                                  struct mq_error *error);
void mq_relay_destroy (struct mq_relay *relay);
/* "IP:PORT" where other hosts reach it.  */
const char *mq_relay_address (const struct mq_relay *relay);
/* A host of the settings that may be asked, at "IP:PORT".  */
void mq_relay_add_seed (struct mq_relay *relay, const char *address);
/* A whole list of the hosts that may be asked: begin, each address, end.
   Those that it lacks are forgotten, but for the seeds.  NEAR: in the same
   data centre.  */
void mq_relay_list_begin (struct mq_relay *relay);
void mq_relay_list_host (struct mq_relay *relay, const char *address,
                         bool near);
void mq_relay_list_end (struct mq_relay *relay);
size_t mq_relay_host_count (const struct mq_relay *relay);

/* As mq_rows_commit and mq_rows_get, through another host.  Without a host
   that answers the status is DOWN, or LOST where it may have been done.  */
struct mq_relay_call *mq_relay_commit (struct mq_relay *relay,
                                       const struct mq_rows_entry *entries,
                                       size_t count, mq_rows_done *done,
                                       void *user);
struct mq_relay_call *mq_relay_get (struct mq_relay *relay, const char *table,
                                    const char *part, const char *key,
                                    mq_rows_done *done, void *user);
void mq_relay_cancel (struct mq_relay_call *call);
/* As mq_relay_commit, by the host at ADDRESS alone, which answers within WAIT
   milliseconds or is not asked so for a while.  */
struct mq_relay_call *mq_relay_commit_at (struct mq_relay *relay,
                                          const char *address, uint32_t wait,
                                          const struct mq_rows_entry *entries,
                                          size_t count, mq_rows_done *done,
                                          void *user);
/* The host of this data centre that gathers writes to PART: all of its hosts
   name the same one, as far as they know the same hosts.  NULL: this one
   does, or nobody can be asked.  */
const char *mq_relay_writer (const struct mq_relay *relay, const char *part);
/* WRITE makes other hosts' writes, in place of calls to the table.  */
typedef void mq_relay_write (const struct mq_rows_entry *entries, size_t count,
                             mq_rows_done *done, void *done_user, void *user);
void mq_relay_set_write (struct mq_relay *relay, mq_relay_write *write,
                         void *user);
/* Asks some host for what is newer than SYNC.  */
void mq_relay_request_sync (struct mq_relay *relay,
                            const struct mq_relay_sync *sync);
/* Answers a sync that came over LINK.  */
void mq_relay_send_state (struct mq_relay *relay, struct mq_relay_link *link,
                          const struct mq_relay_state *state);
/* Hosts that are asked for a loan at a time.  Where there are more, those with
   an open link come first: a caller's tries reach hosts of one data centre. */
#define MQ_RELAY_LOAN_HOSTS_MAX 32U
/* A host that has not answered a question for a loan for so long is not asked
   again for MQ_RELAY_BACKOFF_MS, or until it answers: most likely it is gone,
   and each question would wait for it.  */
#define MQ_RELAY_LOAN_TIMEOUT_MS 100U
/* Asks other hosts for a loan; returns how many will answer.  NEAR: only those
   in the same data centre, and none where they are more than can be asked.  */
uint32_t mq_relay_request_loan (struct mq_relay *relay,
                                const struct mq_relay_loan_request *ask,
                                bool near);
/* Answers a question for a loan that came over LINK.  */
void mq_relay_send_loan_reply (struct mq_relay *relay,
                               struct mq_relay_link *link,
                               const struct mq_relay_loan_reply *told);
/* Tells the host at ADDRESS what was not used; false when no link to it is
   open.  */
bool mq_relay_return_loan (struct mq_relay *relay, const char *address,
                           const struct mq_relay_loan_return *back);
/* Asks the host at ADDRESS for permits; false when no link to it can be
   opened.  */
bool mq_relay_request_quota (struct mq_relay *relay, const char *address,
                             const struct mq_relay_quota_request *ask);
/* Answers a question for permits that came over LINK.  */
void mq_relay_send_quota_reply (struct mq_relay *relay,
                                struct mq_relay_link *link,
                                const struct mq_relay_quota_reply *told);
/* Asks all listed hosts that have not answered it yet what earlier runs of
   this one lent; returns how many those are.  */
uint32_t mq_relay_recall_quota (struct mq_relay *relay, uint64_t server);
/* Answers such a question that came over LINK.  */
void mq_relay_send_recall_reply (struct mq_relay *relay,
                                 struct mq_relay_link *link,
                                 const struct mq_relay_quota_request *ask);
/* Calls made through other hosts, and for them.  */
uint64_t mq_relay_calls_sent (const struct mq_relay *relay);
uint64_t mq_relay_calls_served (const struct mq_relay *relay);

#endif
