/* site_http.c - HTTP requests of a test, each performed in its own thread.

   Needs: site_http.h.  */

#include "site_http.h"
#include "site_process.h"
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  POLL_INTERVAL_US = 2000,
  CONNECT_TIMEOUT_MS = 10000,
  STALLED_RECEIVE_BYTES = 4096,
  STALLED_SOCKET_BYTES = 16384
};

/* LOCK protects the fields below it.  */
struct site_call
{
  pthread_t thread;
  CURL *curl;
  struct curl_slist *headers;
  char *url;
  char *method;
  char *request_body;
  json_t *json;
  pthread_mutex_t lock;
  bool done;
  bool aborted;
  bool stalled;
  long status;
  char *body;
  size_t len;
};

static void *
check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static bool
is_stalled (struct site_call *call)
{
  bool stalled;

  pthread_mutex_lock (&call->lock);
  stalled = call->stalled && !call->aborted && call->len > 0;
  pthread_mutex_unlock (&call->lock);
  return stalled;
}

static size_t
receive_body (char *bytes, size_t size, size_t count, void *data)
{
  struct site_call *call = data;

  while (is_stalled (call))
    usleep (POLL_INTERVAL_US);
  pthread_mutex_lock (&call->lock);
  call->body
      = check_alloc (realloc (call->body, call->len + size * count + 1));
  memcpy (call->body + call->len, bytes, size * count);
  call->len += size * count;
  call->body[call->len] = '\0';
  pthread_mutex_unlock (&call->lock);
  return size * count;
}

static int
check_abort (void *data, curl_off_t down_total, curl_off_t down,
             curl_off_t up_total, curl_off_t up)
{
  struct site_call *call = data;
  bool aborted;

  (void)down_total;
  (void)down;
  (void)up_total;
  (void)up;
  pthread_mutex_lock (&call->lock);
  aborted = call->aborted;
  pthread_mutex_unlock (&call->lock);
  return aborted;
}

static void *
run (void *data)
{
  struct site_call *call = data;
  CURLcode code = curl_easy_perform (call->curl);
  long status = 0;

  if (code == CURLE_OK)
    curl_easy_getinfo (call->curl, CURLINFO_RESPONSE_CODE, &status);
  pthread_mutex_lock (&call->lock);
  call->status = status;
  call->done = true;
  pthread_mutex_unlock (&call->lock);
  return NULL;
}

static void
add_header (struct site_call *call, const char *name, const char *value)
{
  char *line;

  if (value == NULL)
    return;
  line = talloc_asprintf (call, "%s: %s", name, value);
  call->headers = curl_slist_append (call->headers, line);
}

/* Limits the data that the kernel buffers for a stalled client.  */
static int
limit_receive_buffer (void *data, curl_socket_t fd, curlsocktype purpose)
{
  int bytes = STALLED_SOCKET_BYTES;

  (void)data;
  (void)purpose;
  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) != 0)
    return CURL_SOCKOPT_ERROR;
  return CURL_SOCKOPT_OK;
}

static void
prepare (struct site_call *call, const struct site_http_request *request)
{
  char *bearer = request->key == NULL
                     ? NULL
                     : talloc_asprintf (call, "Bearer %s", request->key);

  call->url
      = talloc_asprintf (call, "http://%s%s", request->address, request->path);
  add_header (call, "Authorization", bearer);
  add_header (call, "Idempotency-Key", request->idempotency_key);
  add_header (call, "Expect", "");
  curl_easy_setopt (call->curl, CURLOPT_URL, call->url);
  curl_easy_setopt (call->curl, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (call->curl, CURLOPT_TIMEOUT_MS, (long)SITE_WAIT_LIMIT_MS);
  curl_easy_setopt (call->curl, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (call->curl, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->curl, CURLOPT_XFERINFOFUNCTION, check_abort);
  curl_easy_setopt (call->curl, CURLOPT_XFERINFODATA, call);
  curl_easy_setopt (call->curl, CURLOPT_NOPROGRESS, 0L);
  if (request->stalled)
    {
      curl_easy_setopt (call->curl, CURLOPT_BUFFERSIZE,
                        (long)STALLED_RECEIVE_BYTES);
      curl_easy_setopt (call->curl, CURLOPT_SOCKOPTFUNCTION,
                        limit_receive_buffer);
    }
  if (request->body != NULL)
    {
      call->request_body = talloc_strdup (call, request->body);
      curl_easy_setopt (call->curl, CURLOPT_POSTFIELDS, call->request_body);
    }
  if (request->method != NULL)
    {
      call->method = talloc_strdup (call, request->method);
      curl_easy_setopt (call->curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static int
destroy_call (struct site_call *call)
{
  pthread_mutex_lock (&call->lock);
  call->aborted = true;
  pthread_mutex_unlock (&call->lock);
  pthread_join (call->thread, NULL);
  pthread_mutex_destroy (&call->lock);
  curl_easy_cleanup (call->curl);
  curl_slist_free_all (call->headers);
  json_decref (call->json);
  free (call->body);
  return 0;
}

struct site_call *
site_call_start (TALLOC_CTX *ctx, const struct site_http_request *request)
{
  struct site_call *call = check_alloc (talloc_zero (ctx, struct site_call));

  call->curl = check_alloc (curl_easy_init ());
  call->body = check_alloc (calloc (1, 1));
  call->stalled = request->stalled;
  pthread_mutex_init (&call->lock, NULL);
  prepare (call, request);
  if (pthread_create (&call->thread, NULL, run, call) != 0)
    abort ();
  talloc_set_destructor (call, destroy_call);
  return call;
}

bool
site_call_done (struct site_call *call)
{
  bool done;

  pthread_mutex_lock (&call->lock);
  done = call->done;
  pthread_mutex_unlock (&call->lock);
  return done;
}

bool
site_call_contains (struct site_call *call, const char *text)
{
  bool found;

  pthread_mutex_lock (&call->lock);
  found = strstr (call->body, text) != NULL;
  pthread_mutex_unlock (&call->lock);
  return found;
}

void
site_call_resume (struct site_call *call)
{
  pthread_mutex_lock (&call->lock);
  call->stalled = false;
  pthread_mutex_unlock (&call->lock);
}

long
site_call_status (struct site_call *call)
{
  return call->status;
}

const char *
site_call_body (struct site_call *call)
{
  return call->body;
}

json_t *
site_call_json (struct site_call *call)
{
  if (call->json == NULL)
    call->json = json_loads (call->body, 0, NULL);
  return call->json;
}

/* The loop is bounded by the timeout of libcurl.  */
struct site_call *
site_call (TALLOC_CTX *ctx, const struct site_http_request *request)
{
  struct site_call *call = site_call_start (ctx, request);

  while (!site_call_done (call))
    usleep (POLL_INTERVAL_US);
  return call;
}
