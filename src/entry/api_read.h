/* api_read.h - validating parser of callers' requests; for api_plan.c.

   The input is untrusted.  A part that is malformed, unknown or over its
   limit fails the whole request and sets the parser's error.
   Needs: api_plan.h, jansson.  */

#ifndef MQ_API_READ_H
#define MQ_API_READ_H

#include "api_plan.h"
#include <jansson.h>

enum
{
  MQ_API_SEGMENTS_MAX = 5
};

/* Segments of a URL path.  */
struct mq_api_path
{
  char *parts[MQ_API_SEGMENTS_MAX];
  size_t count;
};

/**
 * struct mq_api_parser - state of parsing one request
 * @ctx: owner of the strings that are read
 * @text: the active configuration
 * @plan: the result
 * @json: the parsed body; NULL until mq_api_read_body
 * @error: set by the first part that fails
 */
struct mq_api_parser
{
  TALLOC_CTX *ctx;
  const struct mq_text *text;
  const struct mq_api_http_input *http_input;
  struct mq_api_plan *plan;
  json_t *json;
  struct mq_error *error;
};

/* Sets the parser's error and returns false.  */
bool mq_api_fail (struct mq_api_parser *parser, enum mq_error_type type,
                  const char *subject, const char *allowed);
bool mq_api_split_path (struct mq_api_parser *parser,
                        struct mq_api_path *path);
bool mq_api_segment_is (const struct mq_api_path *path, size_t place,
                        const char *name);
/* Parses the query parameter TEXT.  Leaves *NUMBER unchanged if TEXT is
   NULL.  */
bool mq_api_read_decimal (struct mq_api_parser *parser, const char *name,
                          const char *text, uint32_t *number);
bool mq_api_read_id (struct mq_api_parser *parser, const char *text,
                     struct mq_id *id);
/* Whether KEY is a valid value of the Idempotency-Key header.  */
bool mq_api_key_valid (const char *key);

/* Parses the body, which must be one JSON object; an empty body is read as
   {}.  */
bool mq_api_read_body (struct mq_api_parser *parser);
/* Fails if the body has a member not listed in NAMES, so that a misspelt
   option is not silently ignored.  */
bool mq_api_check_members (struct mq_api_parser *parser,
                           const char *const *names);
/* Each reads one member of the body and leaves the value unchanged if the
   member is absent.  */
bool mq_api_read_text (struct mq_api_parser *parser, const char *name,
                       const char **text);
bool mq_api_read_name (struct mq_api_parser *parser, const char *name,
                       const char **text);
bool mq_api_read_flag (struct mq_api_parser *parser, const char *name,
                       bool *flag);
bool mq_api_read_number (struct mq_api_parser *parser, const char *name,
                         uint32_t *number);
/* Serialises JSON to a string owned by the parser's context.  */
const char *mq_api_dump (struct mq_api_parser *parser, json_t *json);

#endif
