/* router_send.h - the message that a worker gets for a caller's request.

   Needs: router_wire.h, buffer.h.  */

#ifndef MQ_ROUTER_SEND_H
#define MQ_ROUTER_SEND_H

#include "core/router/route.h"
#include "net/buffer.h"
#include "router_wire.h"

/**
 * struct mq_send - a request on its way to a worker
 * @head: what the caller sent
 * @host: whom the request is for
 * @route: where it goes
 * @engine: its worker is a model engine
 * @worker: id of the worker that is meant
 * @last_event: event after which a stream is to go on, "": none
 * @left_ms: time until the final answer
 * @priority: 0 is the most urgent
 * @organisation: whose request it is; NULL: nobody's
 * @body_len: bytes of the body that the worker gets
 */
struct mq_send
{
  const struct mq_http_head *head;
  const char *host;
  const struct mq_path_route *route;
  bool engine;
  const char *worker;
  const char *last_event;
  uint32_t left_ms;
  uint32_t priority;
  const char *organisation;
  size_t body_len;
};

/* Appends the head of the message, with its empty line, to OUT.  */
void mq_send_head (TALLOC_CTX *ctx, const struct mq_send *send,
                   struct mq_buffer *out);

#endif
