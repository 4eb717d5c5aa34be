/* router_send.h - head of the request sent to a worker.

   Needs: router_wire.h, buffer.h.  */

#ifndef MQ_ROUTER_SEND_H
#define MQ_ROUTER_SEND_H

#include "core/router/route.h"
#include "net/buffer.h"
#include "router_wire.h"

/**
 * struct mq_send - a request to a worker
 * @head: head received from the caller
 * @host: value of the Host field
 * @engine: the worker is a model engine
 * @worker: id of the intended worker
 * @last_event: id of the event after which a stream resumes; "" if none
 * @left_ms: time remaining until the final response
 * @priority: 0 is the most urgent
 * @organisation: organisation of the request; NULL if none
 * @body_len: length of the body sent to the worker, bytes
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

/* Appends the message head, including the empty line, to OUT.  */
void mq_send_head (TALLOC_CTX *ctx, const struct mq_send *send,
                   struct mq_buffer *out);

#endif
