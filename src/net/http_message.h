/* http_message.h - HTTP/1.1 messages cut out of a stream of bytes.

   One reader reads the messages of one connection, one after the other.  It
   is strict: a message whose end could be understood in two ways is an error.
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
 * struct mq_http_head - what stands before the body
 * @method: of a request
 * @target: of a request: path and query
 * @status: of an answer
 * @fields: in the order in which they came
 * @field_count: how many
 * @has_length: the body's length is told
 * @length: that length
 * @chunked: the body comes in chunks
 * @until_close: the body ends with the connection
 * @keep_alive: the connection can be used again after the message
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
 * struct mq_http_events - who is told of a message
 * @head: the head is whole; valid until the message ends
 * @body: some bytes of the body
 * @end: the message is whole; the reader takes no more bytes until
 *       mq_http_reader_next
 * @user: given to all of them
 *
 * None may destroy the reader.
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
/* Bytes that a head may have, 0: MQ_HEADERS_MAX_BYTES.  */
void mq_http_reader_set_head_max (struct mq_http_reader *reader, size_t max);
/* The answer that is read next has no body, whatever its head says.  */
void mq_http_reader_no_body (struct mq_http_reader *reader);
/* Takes in bytes up to the end of the message and returns how many; fewer
   than LEN after an error, TOO_LARGE for a head over its bound, BAD_REQUEST
   for a malformed message, or when the message is whole.  */
size_t mq_http_reader_feed (struct mq_http_reader *reader, const char *data,
                            size_t len, struct mq_error *error);
/* The connection has ended.  False when that cuts a message off.  */
bool mq_http_reader_finish (struct mq_http_reader *reader);
/* Some bytes of a message have come in, and not all.  */
bool mq_http_reader_in_message (const struct mq_http_reader *reader);
/* The message is whole and the next one is waited for.  */
bool mq_http_reader_at_end (const struct mq_http_reader *reader);
/* Goes on to the next message of the connection.  */
void mq_http_reader_next (struct mq_http_reader *reader);

/* Value of the first field NAME, in any case; NULL when there is none.  */
const char *mq_http_head_find (const struct mq_http_head *head,
                               const char *name);
size_t mq_http_head_count (const struct mq_http_head *head, const char *name);
/* The field concerns one connection and is not passed on: one that HTTP names
   so, or one that the Connection field of HEAD names.  */
bool mq_http_field_is_hop (const struct mq_http_head *head, const char *name);
/* Reason phrase of STATUS.  */
const char *mq_http_reason (int status);

#endif
