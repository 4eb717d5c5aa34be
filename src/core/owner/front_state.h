/* front_state.h - private data structures and functions of the front.

   Needs: front.h.  */

#ifndef MQ_FRONT_STATE_H
#define MQ_FRONT_STATE_H

#include "front.h"

enum
{
  US_PER_MS = 1000,
  INITIAL_CAPACITY = 16,
  /* Event numbers: call number in the upper bits, index within the call in
     the lower CALL_SHIFT bits.  Tokens count from 1.  */
  CALL_SHIFT = 16,
  STEP_EVENT_INDEX = 0xffff /* index of STEP, the last event of a call */
};

struct front_peer
{
  uint32_t peer;
  const char *address;
};

/**
 * struct front_request - a caller's request that has not ended
 * @handle: id of the caller
 * @partition: partition of its program
 * @deadline_us: when it times out, 0: never
 * @bytes: memory charged to mq_front.bytes
 * @sent: sent to @peer, which serves it; false: waiting
 * @sent_before: sent at least once
 * @peer: connection of the owner that serves it
 * @known_address: owner's address by the lookup when it was sent
 * @redirect_address: owner's address named by a redirect, NULL: none
 * @next_us: while waiting: time of the next attempt
 * @backoff_ms: next backoff, doubled after each failure
 * @accepted: ACCEPTED was sent to the caller
 * @reattached: resent, and no TOKEN or STEP received since
 * @last_event: number of the last event sent to the caller
 */
struct front_request
{
  uint64_t handle;
  uint32_t partition;
  uint64_t deadline_us;
  struct mq_request_msg request;
  size_t bytes;
  bool sent;
  bool sent_before;
  uint32_t peer;
  char *known_address;
  char *redirect_address;
  uint64_t next_us;
  uint32_t backoff_ms;
  bool accepted;
  bool reattached;
  uint32_t last_event;
};

struct mq_front
{
  struct mq_front_lookup lookup;
  uint64_t random;
  struct front_request **requests; /* sorted by handle */
  size_t count;
  size_t capacity;
  size_t bytes;
  struct front_peer *peers;
  size_t peer_count;
  size_t peer_capacity;
  uint64_t next_us;        /* next tick; not later than the first deadline */
  uint64_t owner_check_us; /* next check for changed owners, 0: no request */
  struct mq_front_counters counters;
};

/* front.c */

struct front_request *front_find_request (const struct mq_front *front,
                                          uint64_t handle);
void front_remove_request (struct mq_front *front,
                           struct front_request *request);
void front_send_event (struct mq_actions *actions,
                       const struct mq_event_msg *event);
void front_send_reset (struct mq_front *front, struct mq_actions *actions,
                       const struct front_request *request, uint32_t call);
void front_schedule_retry (struct mq_front *front,
                           struct front_request *request, uint64_t now_us,
                           uint32_t at_least_ms);
void front_set_text (void *ctx, char **text, const char *value);
size_t front_text_bytes (const char *text);

/* front_events.c */

void front_handle_event (struct mq_front *front,
                         const struct mq_front_input *input,
                         struct mq_actions *actions);

#endif
