/* fuzz_api.c - callers' requests (mq_api_plan_create).

   Input: "METHOD PATH", lines "name: value" of what the HTTP server hands
   on, an empty line, the body.
   Needs: fuzz.h, api_plan.h, jansson.  */

#include "core/limits.h"
#include "fuzz.h"
#include "entry/api_plan.h"
#include <jansson.h>
#include <string.h>

FUZZ_MAIN (api)

static const char site[]
    = "[site]\nname = s\n"
      "[service m]\nkind = model\nmodel = x\n"
      "[service records]\nkind = plain\n"
      "[route records.read]\npath = /read\nidempotent = yes\n"
      "[route records.write]\npath = /write\nidempotent = no\n"
      "[service find]\nkind = tool\npath = /find\nidempotent = yes\n"
      "[service clerk]\nkind = agent\ndepends = m, records, find\n"
      "prompt = be brief\n";

/* Members of an ask that a line may set.  */
static const struct
{
  const char *name;
  size_t offset;
} members[] = {
  { "key", offsetof (struct mq_api_http_input, key) },
  { "accept", offsetof (struct mq_api_http_input, accept) },
  { "program", offsetof (struct mq_api_http_input, program) },
  { "service", offsetof (struct mq_api_http_input, service) },
  { "after", offsetof (struct mq_api_http_input, after) },
  { "wait", offsetof (struct mq_api_http_input, wait) },
  { "cancel", offsetof (struct mq_api_http_input, cancel) },
  { "timeout_ms", offsetof (struct mq_api_http_input, timeout_ms) },
};

static void
set_member (struct mq_api_http_input *ask, char *line)
{
  char *value = strstr (line, ": ");

  if (value == NULL)
    return;
  *value = '\0';
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    if (strcmp (line, members[i].name) == 0)
      {
        const char *text = value + 2;

        memcpy ((char *)ask + members[i].offset, &text, sizeof text);
      }
}

/* False when there is no line with method and path.  */
static bool
read_ask (TALLOC_CTX *ctx, struct fuzz_input *input,
          struct mq_api_http_input *ask)
{
  char *line = fuzz_next_line (ctx, input);
  char *space = line == NULL ? NULL : strchr (line, ' ');

  if (space == NULL)
    return false;
  *space = '\0';
  ask->method = line;
  ask->path = space + 1;
  ask->organisation = "o";
  ask->generated_key = "generated";
  ask->traceparent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
  line = fuzz_next_line (ctx, input);
  for (; line != NULL && line[0] != '\0'; line = fuzz_next_line (ctx, input))
    set_member (ask, line);
  ask->body = fuzz_rest (ctx, input);
  ask->len = input->len;
  return true;
}

/* What the owner relies on: texts are there, the body is one JSON object.  */
static void
check_request (const struct mq_request_msg *request)
{
  json_t *body = json_loads (request->body, 0, NULL);

  FUZZ_CHECK (json_is_object (body));
  json_decref (body);
  FUZZ_CHECK (request->service != NULL && request->route != NULL);
  FUZZ_CHECK (strlen (request->service) < MQ_NAME_MAX);
  FUZZ_CHECK (strlen (request->route) < MQ_NAME_MAX);
  FUZZ_CHECK (request->key != NULL && strlen (request->key) <= MQ_API_KEY_MAX);
}

static void
check_plan (const struct mq_api_plan *plan)
{
  check_request (&plan->first);
  if (plan->has_second)
    check_request (&plan->second);
  FUZZ_CHECK (plan->wait_ms > 0 && plan->wait_ms <= MQ_API_WAIT_MAX_MS);
}

bool
fuzz_api (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct fuzz_input input = { data, len };
  struct mq_api_http_input ask = { 0 };
  struct mq_text_errors errors = { 0 };
  struct mq_error error = { 0 };
  struct mq_text *text = mq_text_parse (ctx, site, strlen (site), &errors);
  struct mq_api_plan *plan = NULL;
  bool accepted;

  FUZZ_CHECK (text != NULL);
  if (read_ask (ctx, &input, &ask))
    {
      plan = mq_api_plan_create (ctx, text, &ask, &error);
      FUZZ_CHECK (plan != NULL || error.type != MQ_ERR_NONE);
    }
  accepted = plan != NULL;
  if (accepted)
    check_plan (plan);
  talloc_free (ctx);
  return accepted;
}
