/* relay.h - links between routing hosts.

   A host that can't reach the platform's table, or is rejected by it, relays
   its calls through another host and gets the latest configuration and workers
   from it.  Links are opened on demand; a host that does not answer is not
   used until a backoff has passed.

   Needs: relay_frame.h, rows.h, tevent.  */

#ifndef MQ_RELAY_H
#define MQ_RELAY_H

#include "relay_frame.h"
#include "rows.h"

struct mq_relay;
struct mq_relay_call;
struct mq_relay_link;

/* Timeout of a relayed call: two hops and one call to the table.  */
#define MQ_RELAY_CALL_TIMEOUT_MS 500U
/* Backoff before a failed host is used again.  */
#define MQ_RELAY_BACKOFF_MS 1000U

/**
 * struct mq_relay_owner - callbacks for messages from other hosts
 * @sync: request for newer state; answered with mq_relay_send_state, or not
 *        at all
 * @state: state of another host
 * @loan_request: request for tokens or a history; answered with
 *                mq_relay_send_loan_reply
 * @loan_reply: loan from the host at ADDRESS
 * @loan_return: unused tokens of a loan
 * @handover: state of a program whose cache host is this host
 * @quota_request: request for permits; answered with mq_relay_send_quota_reply
 * @quota_reply: permits from the host at ADDRESS
 * @quota_recall: a restarted issuer recalls the rates that it lent; answered
 *                with mq_relay_send_recall_reply
 * @evidence: what another host saw of workers
 * @run_ends: ends of runs that another host saw, or the request for those
 *            known here; answered with mq_relay_reply_ends
 * @lease_handover: lease of a host that stops while the table is away
 * @user: passed to all callbacks
 */
struct mq_relay_owner
{
  void (*sync) (const struct mq_relay_sync *sync, struct mq_relay_link *link,
                void *user);
  void (*state) (const struct mq_relay_state *state, void *user);
  void (*loan_request) (const struct mq_relay_loan_request *request,
                        struct mq_relay_link *link, void *user);
  void (*loan_reply) (const struct mq_relay_loan_reply *reply,
                      const char *address, void *user);
  void (*loan_return) (const struct mq_relay_loan_return *returned,
                       void *user);
  void (*handover) (const struct mq_relay_loan_reply *handover, void *user);
  void (*quota_request) (const struct mq_relay_quota_request *request,
                         struct mq_relay_link *link, void *user);
  void (*quota_reply) (const struct mq_relay_quota_reply *reply,
                       const char *address, void *user);
  void (*quota_recall) (const struct mq_relay_quota_recall *recall,
                        struct mq_relay_link *link, void *user);
  void (*evidence) (const struct mq_evidence_report *report, void *user);
  void (*run_ends) (const struct mq_relay_run_ends *ends,
                    struct mq_relay_link *link, void *user);
  void (*lease_handover) (const struct mq_relay_lease_handover *handover,
                          void *user);
  void *user;
};

/* Listens at ADDRESS, "IP:PORT"; NULL with ERROR set on failure.  Calls of
   other hosts are made through ROWS.  */
struct mq_relay *mq_relay_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                  const char *address, struct mq_rows *rows,
                                  const struct mq_relay_owner *owner,
                                  struct mq_error *error);
void mq_relay_destroy (struct mq_relay *relay);
/* "IP:PORT" at which other hosts reach this one.  */
const char *mq_relay_address (const struct mq_relay *relay);
/* Adds a host from the settings, at "IP:PORT".  */
void mq_relay_add_seed (struct mq_relay *relay, const char *address);
/**
 * struct mq_relay_listing - a host in the list of hosts
 * @address: "IP:PORT"
 * @near: in the same data centre as this host
 * @caches_programs: accepts handovers (mq_relay_hand_over)
 */
struct mq_relay_listing
{
  const char *address;
  const char *data_centre;
  bool near;
  bool caches_programs;
};

/* Replaces the list of hosts: begin, one call for each host, end.  Hosts that
   are no longer listed are removed, except seeds and those with an open
   link.  */
void mq_relay_list_begin (struct mq_relay *relay);
void mq_relay_list_host (struct mq_relay *relay,
                         const struct mq_relay_listing *listing);
void mq_relay_list_end (struct mq_relay *relay);
size_t mq_relay_host_count (const struct mq_relay *relay);

/* As mq_rows_commit and mq_rows_get, through another host.  If no host
   answers, the status is DOWN, or LOST if the write may have been executed. */
struct mq_relay_call *mq_relay_commit (struct mq_relay *relay,
                                       const struct mq_rows_entry *entries,
                                       size_t count, mq_rows_done *done,
                                       void *user);
struct mq_relay_call *mq_relay_get (struct mq_relay *relay, const char *table,
                                    const char *part, const char *key,
                                    mq_rows_done *done, void *user);
void mq_relay_cancel (struct mq_relay_call *call);
/* As mq_relay_commit, through the host at ADDRESS only.  If it does not answer
   within TIMEOUT_MS, it is not used for batching until a backoff has
   passed.  */
struct mq_relay_call *
mq_relay_commit_at (struct mq_relay *relay, const char *address,
                    uint32_t timeout_ms, const struct mq_rows_entry *entries,
                    size_t count, mq_rows_done *done, void *user);
/* Address of the host that batches writes to PART, of this data centre if
   NEAR, else of all, chosen by rendezvous hashing: hosts with the same list
   choose the same one, and hosts with different lists never choose each other
   in a circle.  NULL if it is this host or none is available.  */
const char *mq_relay_batch_host (const struct mq_relay *relay,
                                 const char *part, bool near);
/* Executes writes of other hosts, instead of mq_rows_commit.  */
typedef void mq_relay_write_handler (const struct mq_rows_entry *entries,
                                     size_t count, mq_rows_done *done,
                                     void *done_user, void *user);
void mq_relay_set_write_handler (struct mq_relay *relay,
                                 mq_relay_write_handler *write, void *user);
/* Requests state newer than SYNC from one host.  */
void mq_relay_request_sync (struct mq_relay *relay,
                            const struct mq_relay_sync *sync);
/* Answers a sync request received on LINK.  */
void mq_relay_send_state (struct mq_relay *relay, struct mq_relay_link *link,
                          const struct mq_relay_state *state);
/* Hosts to which a loan request is sent; those with an open link come first,
   since the tries of a caller reach hosts of one data centre.  */
#define MQ_RELAY_LOAN_HOSTS_MAX 32U
/* A host that has not answered a loan request for this long gets no more of
   them for MQ_RELAY_BACKOFF_MS or until it answers, so that requests don't
   wait for a lost host.  */
#define MQ_RELAY_LOAN_TIMEOUT_MS 100U
/* Requests a loan from other hosts; returns the number of requests sent.
   NEAR: only from hosts in the same data centre.  Where there are cache hosts,
   those of the program are asked first, and only the near one if NEAR.  */
uint32_t mq_relay_request_loan (struct mq_relay *relay,
                                const struct mq_relay_loan_request *request,
                                bool near);
/* Whether this data centre has more than MQ_RELAY_LOAN_HOSTS_MAX other hosts.
   The state of a program is then kept at one of them between its turns, its
   cache host, so that its next turn asks one host, however many there are.  */
bool mq_relay_uses_cache_hosts (const struct mq_relay *relay);
/* Address of the cache host of PROGRAM in this data centre, chosen by
   rendezvous hashing: hosts with the same list choose the same one.  NULL if
   it is this host or none is available.  */
const char *mq_relay_cache_host (const struct mq_relay *relay,
                                 const char *program);
/* Sends the state of a program to the cache host at ADDRESS; false if no link
   to it can be opened.  */
bool mq_relay_hand_over (struct mq_relay *relay, const char *address,
                         const struct mq_relay_loan_reply *handover);
/* Answers a loan request received on LINK.  */
void mq_relay_send_loan_reply (struct mq_relay *relay,
                               struct mq_relay_link *link,
                               const struct mq_relay_loan_reply *reply);
/* Returns unused tokens to the host at ADDRESS; false if no link to it is
   open.  */
bool mq_relay_return_loan (struct mq_relay *relay, const char *address,
                           const struct mq_relay_loan_return *returned);
/* Requests permits from the host at ADDRESS; false if no link to it can be
   opened.  */
bool mq_relay_request_quota (struct mq_relay *relay, const char *address,
                             const struct mq_relay_quota_request *request);
/* Answers a permit request received on LINK.  */
void mq_relay_send_quota_reply (struct mq_relay *relay,
                                struct mq_relay_link *link,
                                const struct mq_relay_quota_reply *reply);
/* Recalls the rates lent by earlier runs of this host from all listed hosts
   that have not answered yet; returns the number of those hosts.  RUN_ID: of
   the current run.  */
uint32_t mq_relay_recall_quota (struct mq_relay *relay, uint64_t run_id);
/* Answers a recall received on LINK.  */
void mq_relay_send_recall_reply (struct mq_relay *relay,
                                 struct mq_relay_link *link,
                                 const struct mq_relay_quota_request *request);
/* Hosts to which evidence is sent: those of this data centre first.  Where
   there are more, each host has its own choice of them, which stays the same
   while the list does.  */
#define MQ_RELAY_EVIDENCE_HOSTS_MAX 32U
/* Number of hosts that mq_relay_send_evidence would send to.  */
uint32_t mq_relay_evidence_hosts (const struct mq_relay *relay);
/* Returns the number of hosts to which REPORT was sent.  */
uint32_t mq_relay_send_evidence (struct mq_relay *relay,
                                 const struct mq_evidence_report *report);
/* Name of the host at ADDRESS in reports, and the address of the listed host
   with that NAME, NULL if there is none.  */
uint64_t mq_relay_evidence_name (const char *address);
const char *mq_relay_evidence_address (const struct mq_relay *relay,
                                       uint64_t name);
/* Hosts that are told of the ends of one request's runs: all, or where there
   are more, those chosen by rendezvous hashing of the request, the same ones
   by all hosts.  */
#define MQ_RELAY_KEEPERS_MAX 32U
/* Hosts that a host asks for what they know when it has started.  */
#define MQ_RELAY_ENDS_ASKED_MAX 3U
/* Sends ENDS to the hosts that keep them, or to all hosts if EVERYONE.
   Returns the number of frames sent.  */
uint32_t mq_relay_send_ends (struct mq_relay *relay,
                             const struct mq_suspects_end *ends, size_t count,
                             bool everyone);
/* Number of hosts that mq_relay_send_ends would send to for EVERYONE.  */
uint32_t mq_relay_ends_hosts (const struct mq_relay *relay);
/* Whether this host, first of those that keep the ends of WORK, is to tell all
   hosts.  False if all are told anyway.  */
bool mq_relay_tells_everyone (const struct mq_relay *relay, struct mq_id work);
/* Asks some hosts for the ends that they know; returns their number.  */
uint32_t mq_relay_ask_ends (struct mq_relay *relay);
/* Answers such a question of the host at ADDRESS, received on LINK.  The host
   is told of further ends.  */
void mq_relay_reply_ends (struct mq_relay *relay, struct mq_relay_link *link,
                          const char *address,
                          const struct mq_suspects_end *ends, size_t count);
/* Hands a lease to one other host, and those of several slots to several
   hosts.  Returns false if there is none.  */
bool mq_relay_hand_over_lease (struct mq_relay *relay,
                               const struct mq_relay_lease_handover *handover);
/* Calls relayed through other hosts, and made for them.  */
uint64_t mq_relay_calls_sent (const struct mq_relay *relay);
uint64_t mq_relay_calls_served (const struct mq_relay *relay);

#endif
