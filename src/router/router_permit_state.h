/* router_permit_state.h - state of the permits that this host requests, shared
   by router_permit.c and router_permit_messages.c only.

   Needs: router_state.h, quota.h.  */

#ifndef MQ_ROUTER_PERMIT_STATE_H
#define MQ_ROUTER_PERMIT_STATE_H

#include "router_state.h"
#include "core/organisation/quota.h"

/**
 * struct share - this host's quota state of one organisation
 * @slot: lease slot of the organisation
 * @first: queued requests, oldest first
 * @active_ms: time of the last request
 * @requested_ms: time of the last message to the issuer that named it
 * @returned_ms: time at which a standing rate was given up or taken away
 * @returns_left: answered messages until the issuer knows of it
 * @issuer: address of the host that issued last, NULL if none
 */
struct share
{
  struct mq_quota_share quota;
  struct mq_permits *permits;
  char *name;
  uint32_t slot;
  struct mq_permit *first;
  uint64_t active_ms;
  uint64_t requested_ms;
  uint64_t returned_ms;
  uint32_t returns_left;
  char *issuer;
};

/**
 * struct mq_permit - a queued request
 * @need: what the program needs then, if it is its first request
 * @message_id: id of the message that requests its permit, 0 if not sent yet
 * @since_ms: time it was queued
 */
struct mq_permit
{
  struct share *share;
  struct mq_permit *next;
  enum mq_permit_kind kind;
  struct mq_program_need need;
  uint64_t message_id;
  uint64_t since_ms;
  mq_permit_handler *callback;
  void *user;
};

/**
 * struct contact - a host that issues permits
 * @sent_ms: time of the last message to it
 * @listed_ms: time at which the leases were read because it does not answer
 */
struct contact
{
  struct contact *next;
  char *address;
  struct mq_quota_contact quota;
  uint64_t sent_ms;
  uint64_t listed_ms;
};

/**
 * struct mq_permits - permits that this host requests
 * @run: random id of this run of the process
 * @send_timer: sends messages for new requests, once per event loop iteration
 * @retry_timer: retries queued requests
 * @sequence: sequence number of the last message
 * @queued: queued requests of all organisations
 */
struct mq_permits
{
  struct mq_router *router;
  uint64_t run;
  struct mq_idmap *shares;
  struct contact *contacts;
  struct mq_timer *send_timer;
  struct mq_timer *retry_timer;
  uint64_t sequence;
  size_t queued;
};

/* router_permit.c */

/* Tells the request of PERMIT its STATE and frees PERMIT.  */
void permit_complete (struct mq_permit *permit, enum mq_permit_state state,
                      uint32_t retry_ms);
/* Whether PERMIT is refused while the limit is reached.  */
bool permit_is_refused (const struct mq_permit *permit, uint64_t now);

/* router_permit_messages.c */

/* Issuer of SHARE's permits; NULL if unknown.  */
struct contact *permit_issuer (const struct share *share);
/* Gives up the standing rate if this host is shutting down.

   Failure: an issuer can't release its lease while it counts rates of hosts
   that are gone, and nobody issues until the lease expires.  */
void permit_return_standing (struct share *share, uint64_t now);
/* Looks up the issuers of active organisations, which creates their contacts,
   and sends all messages that are due.  */
void permit_send_due (struct mq_permits *permits);
/* Time at which the message with the id MESSAGE was sent.  */
uint64_t permit_message_sent_ms (uint64_t message);

#endif
