/* http_message.h - parser of HTTP/1.1 messages.

   One reader parses the consecutive messages of one connection.  It is strict:
   a message whose length is ambiguous is an error.
   Needs: http-parser, error.h.  */

#ifndef MQ_HTTP_MESSAGE_H
#define MQ_HTTP_MESSAGE_H

#include "core/error.h"

struct mq_http_field
{
  const char *name;
  const char *value;
};

/**
 * struct mq_http_head - head of a message
 * @method: requests only
 * @target: requests only: path and query
 * @status: responses only
 * @fields: in the order received
 * @has_length: Content-Length is present
 * @length: value of Content-Length
 * @chunked: the body is chunked
 * @until_close: the body ends with the connection
 * @keep_alive: the connection can be reused after the message
 */
struct mq_http_head
{
  const char *method;
  const char *target;
  int status;
  struct mq_http_field *fields;
  size_t field_count;
  bool has_length;
  uint64_t length;
  bool chunked;
  bool until_close;
  bool keep_alive;
};

enum mq_http_side
{
  MQ_HTTP_REQUEST,
  MQ_HTTP_RESPONSE
};

/**
 * struct mq_http_events - callbacks of a reader
 * @head: the head is complete; valid until the message ends
 * @body: a part of the body
 * @end: the message is complete; no more bytes are accepted until
 *       mq_http_reader_next
 * @user: argument of all
 *
 * No callback may destroy the reader.
 */
struct mq_http_events
{
  void (*head) (const struct mq_http_head *head, void *user);
  void (*body) (const char *data, size_t len, void *user);
  void (*end) (void *user);
  void *user;
};

struct mq_http_reader;

struct mq_http_reader *
mq_http_reader_create (TALLOC_CTX *ctx, enum mq_http_side side,
                       const struct mq_http_events *events);
void mq_http_reader_destroy (struct mq_http_reader *reader);
/* Sets the maximum bytes of a head; 0: MQ_HEADERS_MAX_BYTES.  */
void mq_http_reader_set_head_max (struct mq_http_reader *reader, size_t max);
/* The next response has no body, whatever its head says (HEAD requests).  */
void mq_http_reader_no_body (struct mq_http_reader *reader);
/* Parses bytes up to the end of the message and returns their number.  It is
   less than LEN if the message is complete, or after an error: TOO_LARGE for a
   head over its limit, BAD_REQUEST for a malformed message.  */
size_t mq_http_reader_feed (struct mq_http_reader *reader, const char *data,
                            size_t len, struct mq_error *error);
/* To be called at the end of the connection; false if it truncates a
   message.  */
bool mq_http_reader_finish (struct mq_http_reader *reader);
/* True if a message was received in part.  */
bool mq_http_reader_in_message (const struct mq_http_reader *reader);
/* True if a message is complete and mq_http_reader_next was not called
   yet.  */
bool mq_http_reader_at_end (const struct mq_http_reader *reader);
/* Continues with the next message of the connection.  */
void mq_http_reader_next (struct mq_http_reader *reader);

/* Value of the first field NAME, case-insensitive; NULL if absent.  */
const char *mq_http_head_find (const struct mq_http_head *head,
                               const char *name);
size_t mq_http_head_count (const struct mq_http_head *head, const char *name);
/* True for hop-by-hop fields: those defined by HTTP and those listed in the
   Connection field of HEAD.  */
bool mq_http_field_is_hop (const struct mq_http_head *head, const char *name);
const char *mq_http_reason (int status);

#endif
