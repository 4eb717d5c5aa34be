/* http_message.c - parser of HTTP/1.1 messages.

   Needs: http_message.h, http-parser.  */

#include "http_message.h"
#include "core/limits.h"
#include <http_parser.h>
#include <string.h>
#include <strings.h>

#define INITIAL_TEXT_BYTES ((size_t)1024)
#define INITIAL_FIELDS ((size_t)16)

/**
 * struct mq_http_reader - the message being parsed
 * @text: names, values and the request target, each zero-terminated
 * @offsets: offsets in @text of the name and value of each field
 * @part: which part of the head is being stored in @text
 */
struct mq_http_reader
{
  struct http_parser parser;
  struct mq_http_events events;
  enum mq_http_side side;
  struct mq_http_head head;
  char *text;
  size_t text_len;
  size_t text_capacity;
  size_t *offsets;
  size_t field_count;
  size_t field_capacity;
  size_t target_at;
  size_t head_bytes;
  size_t head_max;
  enum
  {
    PART_NONE,
    PART_TARGET,
    PART_NAME,
    PART_VALUE
  } part;
  bool no_body;
  bool begun;
  bool complete;
  bool in_head;
  bool too_large;
};

static struct mq_http_reader *
reader_of (struct http_parser *parser)
{
  return parser->data;
}

static bool
add_text (struct mq_http_reader *reader, const char *text, size_t len)
{
  if (reader->text_len + len + 1 > reader->text_capacity)
    {
      size_t capacity = reader->text_capacity == 0 ? INITIAL_TEXT_BYTES
                                                   : reader->text_capacity;
      char *grown;

      while (capacity < reader->text_len + len + 1)
        capacity *= 2;
      grown = talloc_realloc (reader, reader->text, char, capacity);
      if (grown == NULL)
        return false;
      reader->text = grown;
      reader->text_capacity = capacity;
    }
  memcpy (reader->text + reader->text_len, text, len);
  reader->text_len += len;
  return true;
}

/* Zero-terminates the current part.  */
static bool
end_part (struct mq_http_reader *reader)
{
  if (reader->part == PART_NONE)
    return true;
  reader->part = PART_NONE;
  return add_text (reader, "", 1);
}

static bool
begin_field (struct mq_http_reader *reader)
{
  size_t need = (reader->field_count + 1) * 2;

  if (need > reader->field_capacity)
    {
      size_t capacity = reader->field_capacity == 0
                            ? INITIAL_FIELDS * 2
                            : reader->field_capacity * 2;
      size_t *grown
          = talloc_realloc (reader, reader->offsets, size_t, capacity);

      if (grown == NULL)
        return false;
      reader->offsets = grown;
      reader->field_capacity = capacity;
    }
  reader->offsets[reader->field_count * 2] = reader->text_len;
  reader->field_count++;
  return true;
}

static int
on_begin (struct http_parser *parser)
{
  struct mq_http_reader *reader = reader_of (parser);

  reader->begun = true;
  reader->in_head = true;
  return 0;
}

static int
on_url (struct http_parser *parser, const char *at, size_t len)
{
  struct mq_http_reader *reader = reader_of (parser);

  if (reader->part != PART_TARGET)
    reader->target_at = reader->text_len;
  reader->part = PART_TARGET;
  return add_text (reader, at, len) ? 0 : -1;
}

static int
on_name (struct http_parser *parser, const char *at, size_t len)
{
  struct mq_http_reader *reader = reader_of (parser);

  /* Trailers arrive after the head was delivered and are dropped.  */
  if (!reader->in_head)
    return 0;
  if (reader->part != PART_NAME)
    {
      if (!end_part (reader) || !begin_field (reader))
        return -1;
      reader->part = PART_NAME;
    }
  return add_text (reader, at, len) ? 0 : -1;
}

static int
on_value (struct http_parser *parser, const char *at, size_t len)
{
  struct mq_http_reader *reader = reader_of (parser);

  if (!reader->in_head)
    return 0;
  if (reader->part != PART_VALUE)
    {
      if (!end_part (reader))
        return -1;
      reader->offsets[reader->field_count * 2 - 1] = reader->text_len;
      reader->part = PART_VALUE;
    }
  return add_text (reader, at, len) ? 0 : -1;
}

static bool
fill_fields (struct mq_http_reader *reader)
{
  struct mq_http_head *head = &reader->head;

  head->fields = talloc_realloc (reader, head->fields, struct mq_http_field,
                                 reader->field_count + 1);
  if (head->fields == NULL)
    return false;
  head->field_count = reader->field_count;
  for (size_t i = 0; i < reader->field_count; i++)
    {
      head->fields[i].name = reader->text + reader->offsets[i * 2];
      head->fields[i].value = reader->text + reader->offsets[i * 2 + 1];
    }
  return true;
}

/* Rejects blanks in field names, which the parser accepts. "Content-Length :
   5" would be unknown here but known to the next reader, and the two would
   disagree on the end of the message.  */
static bool
is_name (const char *name)
{
  static const char allowed[] = "!#$%&'*+-.^_`|~0123456789"
                                "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

  return name[0] != '\0' && name[strspn (name, allowed)] == '\0';
}

static bool
header_names_are_valid (const struct mq_http_head *head)
{
  for (size_t i = 0; i < head->field_count; i++)
    if (!is_name (head->fields[i].name))
      return false;
  return true;
}

/* Rejects a request of ambiguous length: Content-Length with chunked coding,
   two lengths, or a transfer coding other than chunked.  Otherwise a caller
   could smuggle in a request that another reader takes for a body.  */
static bool
framing_is_unambiguous (const struct mq_http_reader *reader)
{
  const struct mq_http_head *head = &reader->head;
  size_t codings = mq_http_head_count (head, "Transfer-Encoding");
  size_t lengths = mq_http_head_count (head, "Content-Length");
  const char *coding = mq_http_head_find (head, "Transfer-Encoding");

  if (codings > 1 || lengths > 1 || (codings > 0 && lengths > 0))
    return false;
  return coding == NULL || strcasecmp (coding, "chunked") == 0;
}

/* True for a response without a length, which ends with the connection.  */
static bool
ends_with_connection (const struct mq_http_reader *reader)
{
  const struct mq_http_head *head = &reader->head;

  return reader->side == MQ_HTTP_RESPONSE && !reader->no_body && !head->chunked
         && !head->has_length && head->status >= 200 && head->status != 204
         && head->status != 304;
}

static int
on_head (struct http_parser *parser)
{
  struct mq_http_reader *reader = reader_of (parser);
  struct mq_http_head *head = &reader->head;

  if (!end_part (reader) || !fill_fields (reader))
    return -1;
  reader->in_head = false;
  head->method = http_method_str ((enum http_method)parser->method);
  head->target = reader->side == MQ_HTTP_REQUEST
                     ? reader->text + reader->target_at
                     : "";
  head->status = (int)parser->status_code;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->has_length
      = !head->chunked && mq_http_head_find (head, "Content-Length") != NULL;
  head->length = head->has_length ? parser->content_length : 0;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->until_close = ends_with_connection (reader);
  if (reader->text_len > reader->head_max)
    {
      reader->too_large = true;
      return -1;
    }
  if (!header_names_are_valid (head) || !framing_is_unambiguous (reader))
    return -1;
  /* Upgrade is ignored, since protocols are never switched.  */
  if (parser->method != HTTP_CONNECT)
    parser->upgrade = 0;
  reader->events.head (head, reader->events.user);
  return reader->no_body ? 1 : 0;
}

static int
on_body (struct http_parser *parser, const char *at, size_t len)
{
  struct mq_http_reader *reader = reader_of (parser);

  reader->events.body (at, len, reader->events.user);
  return 0;
}

static int
on_end (struct http_parser *parser)
{
  struct mq_http_reader *reader = reader_of (parser);

  reader->complete = true;
  reader->begun = false;
  http_parser_pause (parser, 1);
  return 0;
}

static const struct http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_end,
};

static void
reset_parser (struct mq_http_reader *reader)
{
  http_parser_init (&reader->parser, reader->side == MQ_HTTP_REQUEST
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  reader->parser.data = reader;
}

struct mq_http_reader *
mq_http_reader_create (TALLOC_CTX *ctx, enum mq_http_side side,
                       const struct mq_http_events *events)
{
  struct mq_http_reader *reader = talloc_zero (ctx, struct mq_http_reader);

  if (reader == NULL)
    return NULL;
  reader->side = side;
  reader->events = *events;
  reader->head_max = MQ_HEADERS_MAX_BYTES;
  reset_parser (reader);
  return reader;
}

void
mq_http_reader_destroy (struct mq_http_reader *reader)
{
  talloc_free (reader);
}

void
mq_http_reader_set_head_max (struct mq_http_reader *reader, size_t max)
{
  reader->head_max = max == 0 ? MQ_HEADERS_MAX_BYTES : max;
}

void
mq_http_reader_no_body (struct mq_http_reader *reader)
{
  reader->no_body = true;
}

/* Counts the bytes of the head; false if it exceeds its limit.  */
static bool
head_is_within_limit (struct mq_http_reader *reader, size_t len)
{
  if (!reader->in_head)
    {
      reader->head_bytes = 0;
      return true;
    }
  reader->head_bytes += len;
  return reader->head_bytes <= reader->head_max;
}

size_t
mq_http_reader_feed (struct mq_http_reader *reader, const char *data,
                     size_t len, struct mq_error *error)
{
  size_t used;
  enum http_errno failure;

  if (reader->complete || len == 0)
    return 0;
  used = http_parser_execute (&reader->parser, &callbacks, data, len);
  failure = HTTP_PARSER_ERRNO (&reader->parser);
  if (failure == HPE_PAUSED)
    {
      http_parser_pause (&reader->parser, 0);
      reader->events.end (reader->events.user);
      return used;
    }
  if (failure != HPE_OK || reader->parser.upgrade)
    {
      mq_error_set (error,
                    failure == HPE_HEADER_OVERFLOW || reader->too_large
                        ? MQ_ERR_TOO_LARGE
                        : MQ_ERR_BAD_REQUEST,
                    http_errno_name (failure), NULL);
      return used < len ? used : len - 1;
    }
  if (!head_is_within_limit (reader, len))
    {
      mq_error_set (error, MQ_ERR_TOO_LARGE, "the head", NULL);
      return 0;
    }
  return used;
}

bool
mq_http_reader_finish (struct mq_http_reader *reader)
{
  if (reader->complete || !reader->begun)
    return true;
  if (reader->in_head || !reader->head.until_close)
    return false;
  http_parser_execute (&reader->parser, &callbacks, NULL, 0);
  http_parser_pause (&reader->parser, 0);
  if (!reader->complete)
    return false;
  reader->events.end (reader->events.user);
  return true;
}

bool
mq_http_reader_in_message (const struct mq_http_reader *reader)
{
  return reader->begun;
}

bool
mq_http_reader_at_end (const struct mq_http_reader *reader)
{
  return reader->complete;
}

void
mq_http_reader_next (struct mq_http_reader *reader)
{
  reader->complete = false;
  reader->begun = false;
  reader->in_head = false;
  reader->no_body = false;
  reader->part = PART_NONE;
  reader->text_len = 0;
  reader->field_count = 0;
  reader->head_bytes = 0;
  reset_parser (reader);
}

const char *
mq_http_head_find (const struct mq_http_head *head, const char *name)
{
  for (size_t i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

size_t
mq_http_head_count (const struct mq_http_head *head, const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      count++;
  return count;
}

/* True if NAME occurs in the comma-separated LIST.  */
static bool
list_contains (const char *list, const char *name)
{
  size_t name_len = strlen (name);

  while (*list != '\0')
    {
      size_t len;

      list += strspn (list, " \t,");
      len = strcspn (list, " \t,");
      if (len == name_len && strncasecmp (list, name, len) == 0)
        return true;
      list += len;
    }
  return false;
}

bool
mq_http_field_is_hop (const struct mq_http_head *head, const char *name)
{
  static const char *const hop[] = { "Connection",
                                     "Keep-Alive",
                                     "Proxy-Connection",
                                     "TE",
                                     "Trailer",
                                     "Transfer-Encoding",
                                     "Upgrade",
                                     "Proxy-Authenticate",
                                     "Proxy-Authorization" };

  for (size_t i = 0; i < sizeof hop / sizeof hop[0]; i++)
    if (strcasecmp (hop[i], name) == 0)
      return true;
  for (size_t i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, "Connection") == 0
        && list_contains (head->fields[i].value, name))
      return true;
  return false;
}

const char *
mq_http_reason (int status)
{
  switch (status)
    {
#define REASON(number, name, text)                                            \
  case number:                                                                \
    return #text;
      HTTP_STATUS_MAP (REASON)
#undef REASON
    default:
      return "Status";
    }
}
