/* platform_server.c - HTTP server of the stand-in platform.

   Each request below /v1/ becomes an operation that is parsed, checked
   against the active faults, delayed if required, executed and answered.  An
   operation outlives its request if the client disconnects.
   Needs: platform_state.h, http_answer.h, platform_wire.h.  */

#include "platform_server.h"
#include "daemon/process.h"
#include "http_answer.h"
#include "platform_state.h"
#include "platform_wire.h"
#include "net/clock.h"
#include <string.h>

#define BODY_MAX_BYTES (64U << 20)
#define BYTES_TYPE "application/octet-stream"
#define TABLE_PATH "/v1/table/transaction"
#define ROWS_PATH "/v1/table/rows"
#define OBJECT_PATH "/v1/objects/"
#define HOSTS_PATH "/v1/hosts"
#define WEIGHT_PATH "/v1/weights/"
#define CONTROL_PATH "/standin/"

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

enum operation_kind
{
  OPERATION_STORE,
  OPERATION_HOSTS,
  OPERATION_WEIGHT
};

enum operation_end
{
  END_ANSWER,
  END_REFUSE, /* 503, not executed */
  END_CLOSE,  /* executed; the connection is closed without a response */
  END_SILENT  /* executed after the connection was closed */
};

struct operation
{
  struct mq_platform_server *server;
  struct mq_http_request *request; /* valid until closed */
  enum operation_kind kind;
  enum operation_end end;
  struct mq_store_request store;
  const char **names;
  size_t name_count;
  bool finished;
  bool closed;
};

/* Operations: parsing.  */

static bool
parse_transaction (struct operation *operation)
{
  struct mq_store_request *store = &operation->store;
  size_t len;
  const char *body = mq_http_body (operation->request, &len);

  store->kind = MQ_STORE_TXN;
  if (!mq_wire_read_transaction (operation, body, len, store))
    return false;
  operation->names
      = talloc_zero_array (operation, const char *, store->op_count);
  operation->name_count = store->op_count;
  for (size_t i = 0; i < store->op_count; i++)
    operation->names[i] = store->ops[i].key;
  return true;
}

static void
name_operation (struct operation *operation, const char *name)
{
  operation->names = talloc_zero_array (operation, const char *, 1);
  operation->names[0] = talloc_strdup (operation, name);
  operation->name_count = 1;
}

static bool
parse_scan (struct operation *operation)
{
  struct mq_store_request *store = &operation->store;
  const char *prefix = mq_http_query (operation->request, "prefix");
  const char *after = mq_http_query (operation->request, "after");
  const char *limit = mq_http_query (operation->request, "limit");
  char *end = NULL;
  unsigned long number = limit == NULL ? 0 : strtoul (limit, &end, 10);

  store->kind = MQ_STORE_SCAN;
  store->key = talloc_strdup (operation, prefix == NULL ? "" : prefix);
  store->after = talloc_strdup (operation, after == NULL ? "" : after);
  store->limit = number > UINT32_MAX ? UINT32_MAX : (uint32_t)number;
  name_operation (operation, store->key);
  return end == NULL || (end != limit && *end == '\0');
}

static bool
parse_object (struct operation *operation, enum mq_store_kind kind)
{
  struct mq_store_request *store = &operation->store;
  const char *path = mq_http_path (operation->request);
  size_t len;
  const char *body = mq_http_body (operation->request, &len);

  store->kind = kind;
  store->key = talloc_strdup (operation, path + strlen (OBJECT_PATH));
  store->value.data = talloc_memdup (operation, body, len);
  store->value.len = len;
  name_operation (operation, store->key);
  return true;
}

static bool
parse_weight (struct operation *operation)
{
  const char *path = mq_http_path (operation->request);

  operation->kind = OPERATION_WEIGHT;
  name_operation (operation, path + strlen (WEIGHT_PATH));
  return true;
}

static bool
parse_hosts (struct operation *operation)
{
  operation->kind = OPERATION_HOSTS;
  name_operation (operation, "hosts");
  return true;
}

static bool
parse_operation (struct operation *operation)
{
  struct mq_http_request *request = operation->request;

  if (mq_is_request (request, "POST", TABLE_PATH))
    return parse_transaction (operation);
  if (mq_is_request (request, "GET", ROWS_PATH))
    return parse_scan (operation);
  if (mq_is_request_below (request, "PUT", OBJECT_PATH))
    return parse_object (operation, MQ_STORE_PUT);
  if (mq_is_request_below (request, "GET", OBJECT_PATH))
    return parse_object (operation, MQ_STORE_GET);
  if (mq_is_request_below (request, "DELETE", OBJECT_PATH))
    return parse_object (operation, MQ_STORE_DELETE);
  if (mq_is_request (request, "GET", HOSTS_PATH))
    return parse_hosts (operation);
  if (mq_is_request_below (request, "GET", WEIGHT_PATH))
    return parse_weight (operation);
  return false;
}

/* Operations: execution and response.  */

static void
respond_store (struct operation *operation,
               const struct mq_store_result *result, bool dropped)
{
  struct mq_http_request *request = operation->request;

  switch (operation->store.kind)
    {
    case MQ_STORE_TXN:
      mq_answer_json (request, result->status == MQ_STORE_OK ? 200 : 409,
                      mq_wire_transaction (result));
      return;
    case MQ_STORE_SCAN:
      mq_answer_json (request, 200, mq_wire_rows (result));
      return;
    case MQ_STORE_PUT:
      mq_answer_empty (request);
      return;
    case MQ_STORE_GET:
      if (result->status == MQ_STORE_MISSING)
        mq_answer_failure (request, MQ_ERR_NOT_FOUND);
      else
        mq_http_respond (request, 200, BYTES_TYPE, result->value.data,
                         result->value.len);
      return;
    case MQ_STORE_DELETE:
      if (dropped)
        mq_answer_empty (request);
      else
        mq_answer_failure (request, MQ_ERR_NOT_FOUND);
      return;
    }
}

static void
reject_weight (struct mq_http_request *request, uint32_t retry_after_s)
{
  char text[16];

  snprintf (text, sizeof text, "%u", retry_after_s);
  mq_http_set_header (request, "Retry-After", text);
  mq_answer_failure (request, MQ_ERR_OVERLOADED);
}

static void
respond_weight (struct operation *operation)
{
  struct mq_http_request *request = operation->request;
  const char *name = operation->names[0];
  uint32_t retry_after_s;
  uint64_t bytes;

  switch (mq_weight_store_load (operation->server->weights, name,
                                mq_clock_us (), &bytes, &retry_after_s))
    {
    case MQ_WEIGHT_LOADED:
      mq_answer_json (
          request, 200,
          json_pack ("{s:s,s:I}", "name", name, "bytes", (json_int_t)bytes));
      return;
    case MQ_WEIGHT_RATE_LIMITED:
      reject_weight (request, retry_after_s);
      return;
    case MQ_WEIGHT_UNKNOWN:
      mq_answer_failure (request, MQ_ERR_NOT_FOUND);
      return;
    }
}

static void
finish (struct operation *operation)
{
  operation->finished = true;
  if (operation->closed)
    talloc_free (operation);
}

/* Responding to or aborting a request may call on_closed synchronously and
   free the operation, so it must not be accessed afterwards.  */
static void
on_closed (struct mq_http_request *request, void *data)
{
  struct operation *operation = data;

  (void)request;
  operation->closed = true;
  operation->request = NULL;
  if (operation->finished)
    talloc_free (operation);
}

static void
run_store (struct operation *operation)
{
  struct mq_table *table = operation->server->table;
  struct mq_store_result result = { 0 };
  bool dropped = false;

  if (operation->store.kind == MQ_STORE_DELETE)
    dropped = mq_table_delete_object (table, operation->store.key);
  else
    mq_table_execute (table, operation, &operation->store, &result);
  if (operation->closed || operation->end == END_SILENT)
    finish (operation);
  else if (operation->end == END_CLOSE)
    {
      operation->finished = true;
      mq_http_abort (operation->request);
    }
  else
    {
      operation->finished = true;
      respond_store (operation, &result, dropped);
    }
}

static void
run_answer (struct operation *operation)
{
  if (operation->closed)
    {
      finish (operation);
      return;
    }
  operation->finished = true;
  if (operation->end == END_REFUSE)
    mq_answer_failure (operation->request, MQ_ERR_STORE_DOWN);
  else if (operation->kind == OPERATION_HOSTS)
    mq_answer_json (operation->request, 200,
                    mq_host_registry_answer (operation->server->hosts));
  else
    respond_weight (operation);
}

static void
run (struct operation *operation)
{
  if (operation->kind == OPERATION_STORE && operation->end != END_REFUSE)
    run_store (operation);
  else
    run_answer (operation);
}

static void
on_due (struct tevent_context *ev, struct tevent_timer *timer,
        struct timeval now, void *data)
{
  struct operation *operation = data;

  (void)ev;
  (void)timer;
  (void)now;
  operation->server->waiting--;
  run (operation);
}

/* Operations: faults.  */

static bool
is_write (const struct operation *operation)
{
  if (operation->kind != OPERATION_STORE)
    return false;
  return operation->store.kind != MQ_STORE_SCAN
         && operation->store.kind != MQ_STORE_GET;
}

static uint64_t
pace (struct mq_request_pacer *pacer, uint32_t per_s)
{
  uint64_t now = mq_clock_us ();
  uint64_t start = pacer->next_us > now ? pacer->next_us : now;

  if (per_s == 0)
    return 0;
  pacer->next_us = start + US_PER_S / per_s;
  return start - now;
}

static bool
matches_fault (struct operation *operation, enum mq_fault_kind kind,
               struct mq_fault *fault)
{
  struct mq_fault_subject subject
      = { operation->names, operation->name_count, NULL, false };

  return mq_faults_take (operation->server->faults, kind, &subject, fault);
}

static uint64_t
queue_wait (struct operation *operation)
{
  struct mq_platform_server *server = operation->server;
  struct mq_fault fault;

  if (!matches_fault (operation, MQ_FAULT_RATE, &fault))
    return 0;
  if (is_write (operation))
    return pace (&server->writes, fault.writes_per_s);
  return pace (&server->reads, fault.reads_per_s);
}

static uint64_t
fault_wait (struct operation *operation, enum mq_fault_kind kind)
{
  struct mq_fault fault;

  if (!matches_fault (operation, kind, &fault))
    return 0;
  return (uint64_t)fault.ms * US_PER_MS;
}

/* Applies the faults that affect execution.  They match writes only, so that
   reads do not consume their count.  */
static void
start_write (struct operation *operation, uint64_t *wait_us)
{
  struct mq_fault fault;

  if (matches_fault (operation, MQ_FAULT_LATE_EFFECT, &fault))
    {
      operation->end = END_SILENT;
      *wait_us += (uint64_t)fault.ms * US_PER_MS;
      mq_http_abort (operation->request);
    }
  else if (matches_fault (operation, MQ_FAULT_LOST_ANSWER, NULL))
    operation->end = END_CLOSE;
}

static void
start (struct operation *operation)
{
  uint64_t wait_us;

  if (matches_fault (operation, MQ_FAULT_UNREACHABLE, NULL))
    {
      operation->finished = true;
      mq_http_abort (operation->request);
      return;
    }
  if (matches_fault (operation, MQ_FAULT_HANG, NULL))
    {
      operation->finished = true;
      return;
    }
  wait_us = fault_wait (operation, MQ_FAULT_SLOW);
  if (matches_fault (operation, MQ_FAULT_DOWN, NULL))
    operation->end = END_REFUSE;
  else
    wait_us += queue_wait (operation);
  if (operation->end != END_REFUSE && is_write (operation))
    start_write (operation, &wait_us);
  if (wait_us == 0)
    {
      run (operation);
      return;
    }
  operation->server->waiting++;
  if (tevent_add_timer (operation->server->ev, operation,
                        mq_standin_timeval_after_us (wait_us), on_due,
                        operation)
      == NULL)
    abort ();
}

static void
handle_operation (struct mq_platform_server *server,
                  struct mq_http_request *request)
{
  struct operation *operation = talloc_zero (server, struct operation);

  operation->server = server;
  operation->request = request;
  if (!parse_operation (operation))
    {
      talloc_free (operation);
      mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  mq_http_on_closed (request, on_closed, operation);
  start (operation);
}

static void
on_request (struct mq_http_request *request, void *data)
{
  struct mq_platform_server *server = data;

  if (strncmp (mq_http_path (request), CONTROL_PATH, strlen (CONTROL_PATH))
      == 0)
    mq_platform_handle_control (server, request);
  else
    handle_operation (server, request);
}

/* Server.  */

static void
create_parts (struct mq_platform_server *server)
{
  server->table = mq_table_create (server);
  server->hosts = mq_host_registry_create (server);
  server->weights = mq_weight_store_create (server);
  server->faults = mq_faults_create (
      server,
      MQ_FAULT_BIT (MQ_FAULT_DOWN) | MQ_FAULT_BIT (MQ_FAULT_UNREACHABLE)
          | MQ_FAULT_BIT (MQ_FAULT_SLOW) | MQ_FAULT_BIT (MQ_FAULT_LOST_ANSWER)
          | MQ_FAULT_BIT (MQ_FAULT_LATE_EFFECT) | MQ_FAULT_BIT (MQ_FAULT_HANG)
          | MQ_FAULT_BIT (MQ_FAULT_HOSTS_LAG) | MQ_FAULT_BIT (MQ_FAULT_RATE));
}

struct mq_platform_server *
mq_platform_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                           const char *address, struct mq_error *error)
{
  struct mq_http_server_options options
      = { .address = address, .body_max = BODY_MAX_BYTES };
  struct mq_platform_server *server
      = talloc_zero (ctx, struct mq_platform_server);

  if (server == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "platform", "");
      return NULL;
    }
  server->ev = ev;
  create_parts (server);
  server->http = mq_http_server_create (server, ev, &options, on_request,
                                        server, error);
  if (server->http == NULL)
    TALLOC_FREE (server);
  return server;
}

/* Destroys the HTTP server first: closing its requests accesses their
   operations.  */
void
mq_platform_server_destroy (struct mq_platform_server *server)
{
  if (server == NULL)
    return;
  mq_http_server_destroy (server->http);
  talloc_free (server);
}

uint16_t
mq_platform_server_port (const struct mq_platform_server *server)
{
  return mq_http_server_port (server->http);
}

struct mq_table *
mq_platform_server_table (struct mq_platform_server *server)
{
  return server->table;
}

bool
mq_platform_server_fault (struct mq_platform_server *server, const char *order)
{
  struct mq_error error;

  return mq_faults_post (server->faults, order, strlen (order), &error);
}

bool
mq_platform_server_load_hosts (struct mq_platform_server *server,
                               const char *text, size_t len)
{
  json_t *json = json_loadb (text, len, 0, NULL);
  json_t *hosts = json_object_get (json, "hosts");
  bool good = json_is_array (hosts);
  uint64_t number;
  json_t *state;

  for (size_t i = 0; good && i < json_array_size (hosts); i++)
    good = mq_host_registry_set (server->hosts, json_array_get (hosts, i));
  json_decref (json);
  state = mq_host_registry_state (server->hosts, &number);
  mq_host_registry_publish (server->hosts, state, number);
  return good;
}
