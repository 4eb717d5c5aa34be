/* api_read.h - checked reading of a caller's request; for api_plan.c.

   The bytes come from outside: a part that is malformed, unknown or over its
   bound fails the whole request, with the failure in the maker's error.
   Needs: api_plan.h, jansson.  */

#ifndef MQ_API_READ_H
#define MQ_API_READ_H

#include "api_plan.h"
#include <jansson.h>

enum
{
  MQ_API_SEGMENTS_MAX = 5
};

/* Parts of a path between slashes.  */
struct mq_api_path
{
  char *parts[MQ_API_SEGMENTS_MAX];
  size_t count;
};

/**
 * struct mq_api_parser - what one plan is made from
 * @ctx: owner of the texts that are read
 * @text: the configuration in force
 * @ask: the request
 * @plan: the plan
 * @json: the request's body, once it was read
 * @error: set by the first part that fails
 */
struct mq_api_parser
{
  TALLOC_CTX *ctx;
  const struct mq_text *text;
  const struct mq_api_http_input *ask;
  struct mq_api_plan *plan;
  json_t *json;
  struct mq_error *error;
};

/* Sets the error; always false.  */
bool mq_api_fail (struct mq_api_parser *maker, enum mq_error_type type,
                  const char *subject, const char *allowed);
bool mq_api_split_path (struct mq_api_parser *maker, struct mq_api_path *path);
bool mq_api_segment_is (const struct mq_api_path *path, size_t place,
                        const char *name);
/* *NUMBER stays as it is when TEXT, a query parameter, is NULL.  */
bool mq_api_read_decimal (struct mq_api_parser *maker, const char *name,
                          const char *text, uint32_t *number);
bool mq_api_read_id (struct mq_api_parser *maker, const char *text,
                     struct mq_id *id);
/* Of an Idempotency-Key.  */
bool mq_api_key_valid (const char *key);

/* The body must be one JSON object; an empty one stands for {}.  */
bool mq_api_read_body (struct mq_api_parser *maker);
/* Refuses members that are not among NAMES: a misspelt option would
   otherwise be left out without a word.  */
bool mq_api_check_members (struct mq_api_parser *maker,
                           const char *const *names);
/* Each reads a member of the body and leaves the value as it is when the
   member is absent.  */
bool mq_api_read_text (struct mq_api_parser *maker, const char *name,
                       const char **text);
bool mq_api_read_name (struct mq_api_parser *maker, const char *name,
                       const char **text);
bool mq_api_read_flag (struct mq_api_parser *maker, const char *name,
                       bool *flag);
bool mq_api_read_number (struct mq_api_parser *maker, const char *name,
                         uint32_t *number);
/* JSON as text below the maker's context.  */
const char *mq_api_dump (struct mq_api_parser *maker, json_t *json);

#endif
