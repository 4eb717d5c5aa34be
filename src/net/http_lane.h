/* http_lane.h - a connection to an HTTP server, one request at a time.

   Tells for certain whether any byte of a request was given to the network,
   and hands on what comes back as it comes.  It never sends a request again
   by itself.
   Needs: tcp.h, http_message.h.  */

#ifndef MQ_HTTP_LANE_H
#define MQ_HTTP_LANE_H

#include "http_message.h"
#include "tcp.h"

struct mq_http_lane;

enum mq_lane_failure
{
  MQ_LANE_UNREACHABLE, /* no byte of the request was sent */
  MQ_LANE_BROKEN,      /* it was sent; the answer is missing or cut off */
  MQ_LANE_DAMAGED      /* what came is no answer of HTTP */
};

/**
 * struct mq_lane_events - who is told of an answer
 * @head: its head; false: it belongs to another request, wait for ours
 * @body: some of its body
 * @end: it is whole; the lane may be used again at once
 * @failed: it won't be; the lane is to be destroyed
 * @user: given to all of them
 *
 * Each may destroy the lane.
 */
struct mq_lane_events
{
  bool (*head) (const struct mq_http_head *head, void *user);
  void (*body) (const char *data, size_t len, void *user);
  void (*end) (void *user);
  void (*failed) (enum mq_lane_failure failure, void *user);
  void *user;
};

/* Told when a lane that nobody uses has ended; it is then to be destroyed.  */
typedef void mq_lane_closed (struct mq_http_lane *lane, void *user);

/* Connects to ADDRESS, "IP:PORT"; SILENT_MS as for mq_tcp_open.  */
struct mq_http_lane *
mq_http_lane_open (TALLOC_CTX *ctx, struct tevent_context *ev,
                   const char *address, uint32_t silent_ms,
                   mq_lane_closed *gone, void *user, struct mq_error *error);
void mq_http_lane_destroy (struct mq_http_lane *lane);
/* Sends a request: HEAD with its empty line, then BODY.  */
void mq_http_lane_send (struct mq_http_lane *lane,
                        const struct mq_lane_events *events, const char *head,
                        size_t head_len, const void *body, size_t body_len,
                        bool answer_has_no_body);
/* Some bytes of the request were given to the network.  */
bool mq_http_lane_sent (const struct mq_http_lane *lane);
/* No answer has ended on it yet.  */
bool mq_http_lane_is_new (const struct mq_http_lane *lane);
/* The answer is whole and the server keeps the connection: neither bytes nor
   an end of it lie unread.  Asked again before each use.  */
bool mq_http_lane_reusable (const struct mq_http_lane *lane);
/* Stops and starts taking in the answer.  */
void mq_http_lane_read (struct mq_http_lane *lane, bool on);

#endif
