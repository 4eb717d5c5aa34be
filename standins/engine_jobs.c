/* engine_jobs.c - orders and transfers of the stand-in engine server.

   Needs: engine_parts.h.  */

#include "engine_parts.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  LABEL_TEXT = 41 /* characters: hash, parent, depth, service flag */
};

#define HANDLE_PREFIX "kv1:"

/**
 * struct mq_engine_job - an active order or transfer
 * @tag: identifies the job in the model's events
 * @request: HTTP request; NULL once it is closed
 * @order: type, if the job is an order
 * @argument: argument, if the job is an order
 */
struct mq_engine_job
{
  struct mq_engine_server *server;
  struct mq_engine_job *next;
  uint64_t tag;
  struct mq_http_request *request;
  enum mq_order_type order;
  char *argument;
};

static const char *const order_names[] = {
  [MQ_ORDER_LOAD_MODEL] = "load_model",
  [MQ_ORDER_LOAD_ADAPTER] = "load_adapter",
  [MQ_ORDER_SET_VERSION] = "set_version",
  [MQ_ORDER_SET_ROLE] = "set_role",
};

const char *
mq_engine_order_name (enum mq_order_type order)
{
  return order_names[order];
}

static int
job_freed (struct mq_engine_job *job)
{
  struct mq_engine_job **at = &job->server->jobs;

  while (*at != NULL && *at != job)
    at = &(*at)->next;
  if (*at == job)
    *at = job->next;
  return 0;
}

static void
job_closed (struct mq_http_request *request, void *data)
{
  struct mq_engine_job *job = data;

  (void)request;
  job->request = NULL;
}

static struct mq_engine_job *
add_job (struct mq_engine_server *server, struct mq_http_request *request)
{
  struct mq_engine_job *job = talloc_zero (server, struct mq_engine_job);

  job->server = server;
  job->tag = ++server->tags;
  job->request = request;
  job->next = server->jobs;
  server->jobs = job;
  talloc_set_destructor (job, job_freed);
  mq_http_on_closed (request, job_closed, job);
  return job;
}

static struct mq_engine_job *
find_job (struct mq_engine_server *server, uint64_t tag)
{
  struct mq_engine_job *job = server->jobs;

  while (job != NULL && job->tag != tag)
    job = job->next;
  return job;
}

static char *
format_handle (TALLOC_CTX *ctx, const struct mq_kv_label *labels, size_t count)
{
  size_t begin = strlen (HANDLE_PREFIX);
  char *text = talloc_array (ctx, char, begin + count * LABEL_TEXT + 1);

  memcpy (text, HANDLE_PREFIX, begin + 1);
  for (size_t i = 0; i < count; i++)
    snprintf (text + begin + i * LABEL_TEXT, LABEL_TEXT + 1,
              "%016" PRIx64 "%016" PRIx64 "%08" PRIx32 "%c", labels[i].hash,
              labels[i].parent, labels[i].depth,
              labels[i].service ? 's' : 'p');
  return text;
}

static bool
parse_label (const char *text, struct mq_kv_label *label)
{
  char service;

  if (sscanf (text, "%16" SCNx64 "%16" SCNx64 "%8" SCNx32 "%c", &label->hash,
              &label->parent, &label->depth, &service)
      != 4)
    return false;
  label->service = service == 's';
  return true;
}

/* Returns NULL if TEXT is not a valid handle.  */
static struct mq_kv_label *
parse_handle (TALLOC_CTX *ctx, const char *text, size_t *count)
{
  size_t begin = strlen (HANDLE_PREFIX);
  struct mq_kv_label *labels;

  if (text == NULL || strncmp (text, HANDLE_PREFIX, begin) != 0
      || strlen (text + begin) % LABEL_TEXT != 0)
    return NULL;
  *count = strlen (text + begin) / LABEL_TEXT;
  labels = talloc_zero_array (ctx, struct mq_kv_label, *count + 1);
  for (size_t i = 0; i < *count; i++)
    {
      char one[LABEL_TEXT + 1] = { 0 };

      memcpy (one, text + begin + i * LABEL_TEXT, LABEL_TEXT);
      if (!parse_label (one, &labels[i]))
        {
          talloc_free (labels);
          return NULL;
        }
    }
  return labels;
}

static json_t *
pack_job (struct mq_engine_job *job, const struct mq_engine_event *event)
{
  json_t *json;
  char *handle;

  if (event->type != MQ_ENGINE_EXPORTED)
    return json_pack ("{s:i}", "tokens", (int)event->transferred);
  handle = format_handle (job, event->labels, event->label_count);
  json = json_pack ("{s:s, s:i}", "handle", handle, "tokens",
                    (int)event->transferred);
  talloc_free (handle);
  return json;
}

static void
finish_job (struct mq_engine_job *job, const struct mq_engine_event *event)
{
  struct mq_engine_server *server = job->server;

  if (event->type == MQ_ENGINE_ORDERED)
    {
      talloc_free (server->in_force[job->order]);
      server->in_force[job->order] = talloc_strdup (server, job->argument);
    }
  if (job->request != NULL)
    {
      mq_http_on_closed (job->request, NULL, NULL);
      mq_answer_json (job->request, 200, pack_job (job, event));
    }
  talloc_free (job);
}

void
mq_engine_post_export (struct mq_engine_server *server,
                       struct mq_http_request *request)
{
  json_t *body = mq_engine_read_body (request);
  struct mq_id program;
  bool valid = mq_id_parse (mq_engine_member_text (body, "program"), &program);

  if (body == NULL)
    return;
  json_decref (body);
  if (!valid)
    {
      mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  mq_engine_export (server->engine, mq_engine_server_now (server),
                    add_job (server, request)->tag, program);
  mq_engine_server_advance (server);
}

void
mq_engine_post_import (struct mq_engine_server *server,
                       struct mq_http_request *request)
{
  json_t *body = mq_engine_read_body (request);
  struct mq_kv_label *labels = NULL;
  struct mq_id program;
  size_t count = 0;

  if (body == NULL)
    return;
  if (mq_id_parse (mq_engine_member_text (body, "program"), &program))
    labels = parse_handle (server, mq_engine_member_text (body, "handle"),
                           &count);
  json_decref (body);
  if (labels == NULL)
    {
      mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  mq_engine_import (server->engine, mq_engine_server_now (server),
                    add_job (server, request)->tag, program, labels, count);
  talloc_free (labels);
  mq_engine_server_advance (server);
}

static bool
find_order (const char *name, enum mq_order_type *order)
{
  for (size_t i = 0; i <= MQ_ORDER_SET_ROLE; i++)
    if (strcmp (order_names[i], name) == 0)
      {
        *order = (enum mq_order_type)i;
        return true;
      }
  return false;
}

static void
start_order (struct mq_engine_server *server, struct mq_http_request *request,
             const json_t *body)
{
  json_int_t fence = json_integer_value (json_object_get (body, "fence"));
  enum mq_order_type order;
  struct mq_error error;
  uint64_t tag = server->tags + 1;

  if (fence < 0 || !find_order (mq_engine_member_text (body, "order"), &order))
    {
      mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  if (!mq_engine_order (server->engine, mq_engine_server_now (server), tag,
                        (uint64_t)fence, order, &error))
    {
      mq_answer_failure (request, error.type);
      return;
    }
  {
    struct mq_engine_job *job = add_job (server, request);

    job->order = order;
    job->argument
        = talloc_strdup (job, mq_engine_member_text (body, "argument"));
  }
  mq_engine_server_advance (server);
}

void
mq_engine_post_order (struct mq_engine_server *server,
                      struct mq_http_request *request)
{
  json_t *body = mq_engine_read_body (request);

  if (body == NULL)
    return;
  start_order (server, request, body);
  json_decref (body);
}

/* Model events.  */

void
mq_engine_job_event (struct mq_engine_server *server,
                     const struct mq_engine_event *event)
{
  struct mq_engine_job *job = find_job (server, event->tag);

  if (job != NULL)
    finish_job (job, event);
}

void
mq_engine_break_jobs (struct mq_engine_server *server)
{
  while (server->jobs != NULL)
    {
      struct mq_engine_job *job = server->jobs;

      if (job->request != NULL)
        mq_engine_abort_request (job->request);
      talloc_free (job);
    }
}
