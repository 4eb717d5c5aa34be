/* router_caller.h - one connection of a caller, shared by router_caller.c and
   router_callers.c only.

   Needs: router_state.h.  */

#ifndef MQ_ROUTER_CALLER_H
#define MQ_ROUTER_CALLER_H

#include "router_state.h"

/**
 * struct mq_caller - one connection
 * @link: where the list points to this connection; NULL if unlinked
 * @request: pending request; NULL if none
 * @head: head of the current message; NULL until it is complete
 * @body: body of the current message
 * @read_ahead: pipelined bytes behind the current message
 * @arrived_ms: start of the current message, local monotonic clock
 * @active_ms: last activity, local monotonic clock
 * @advertised_idle_ms: idle timeout in force when Keep-Alive was last sent
 * @answering: the current message is complete or refused, the response is not
 *             sent yet
 * @held: unsent bytes exceed MQ_TCP_HIGH_BYTES, and the next message waits
 * @body_bytes: bytes of the current body that are buffered or announced
 * @answer_bytes: bytes of the buffered answer
 * @counted_bytes: part of the router's count of buffered bytes
 * @left_bytes: bytes that the caller had not acknowledged when the time limits
 *              were last checked
 * @closing: close the connection after the current response
 * @feeding: bytes are being parsed; the structure must not be freed
 * @dead: the connection is gone; freed once @feeding is false
 */
struct mq_caller
{
  struct mq_router *router;
  struct mq_caller *next;
  struct mq_caller **link;
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  struct mq_request *request;
  const struct mq_http_head *head;
  struct mq_buffer body;
  struct mq_buffer read_ahead;
  uint64_t arrived_ms;
  uint64_t active_ms;
  uint32_t advertised_idle_ms;
  bool answering;
  bool held;
  size_t left_bytes;
  size_t body_bytes;
  size_t answer_bytes;
  uint64_t counted_bytes;
  bool closing;
  bool feeding;
  bool dead;
};

/* Limits of the active configuration, or those until the first one.  */
struct mq_route_limits caller_limits (const struct mq_router *router);
/* Serves FD, an accepted socket.  */
void caller_add (struct mq_router *router, int fd);
/* Refuses the current message and closes the connection after the
   response.  */
void caller_refuse_message (struct mq_caller *caller, enum mq_refusal refusal);
/* Brings the router's count of buffered bytes up to date.  */
void caller_count_bytes (struct mq_caller *caller);
/* Sends what is unsent, then closes the connection.  */
void caller_finish (struct mq_caller *caller);
/* Closes the connection at once.  */
void caller_destroy (struct mq_caller *caller);

#endif
