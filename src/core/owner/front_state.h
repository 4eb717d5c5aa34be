/* front_state.h - the front's tables, shared by the front*.c files only.

   Needs: front.h.  */

#ifndef MQ_FRONT_STATE_H
#define MQ_FRONT_STATE_H

#include "front.h"

enum
{
  US_PER_MS = 1000,
  FIRST_ROOM = 16,
  /* Event numbers: the call in the upper bits, the event of the call in the
     lower ones; tokens count from 1, the end of a call is all ones.  */
  CALL_SHIFT = 16,
  STEP_EVENT_INDEX = 0xffff
};

struct front_peer
{
  uint32_t peer;
  const char *address;
};

/**
 * struct front_request - one caller's request until its answer has ended
 * @handle: its caller
 * @partition: partition of its program
 * @deadline_us: when it is given up, 0 never
 * @request: what is sent
 * @bytes: memory that it counts for
 * @sent: it is with @peer, which serves it
 * @sent_before: it was with some peer before
 * @peer: serving peer
 * @known: address that the map gave when it was sent
 * @hint: address that a refusal named, NULL when none
 * @next_us: while waiting: when it is sent again
 * @pause_ms: next pause, doubles with each failure
 * @accepted: the caller has heard ACCEPTED
 * @reattached: sent again, and no token or step has come since
 * @last: number of the last event that the caller has
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
  char *known;
  char *hint;
  uint64_t next_us;
  uint32_t pause_ms;
  bool accepted;
  bool reattached;
  uint32_t last;
};

struct mq_front
{
  struct mq_front_lookup lookup;
  uint64_t random;
  struct front_request **requests; /* sorted by handle */
  size_t count;
  size_t room;
  size_t bytes;
  struct front_peer *peers;
  size_t peer_count;
  size_t peer_room;
  uint64_t next_us;        /* not later than the first thing due */
  uint64_t owner_check_us; /* when the map is compared next */
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
