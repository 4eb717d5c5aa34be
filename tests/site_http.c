/* site_http.c - callers of a site: blocking HTTP, each in a thread.

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
  LOOK_US = 2000,
  CONNECT_MS = 10000,
  STALLED_RECEIVE_BYTES = 4096,
  STALLED_SOCKET_BYTES = 16384
};

/* Fields below LOCK are shared with the thread.  */
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
  bool broken_off;
  bool stalled;
  long status;
  char *body;
  size_t len;
};

static void *
need (void *memory)
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
  stalled = call->stalled && !call->broken_off && call->len > 0;
  pthread_mutex_unlock (&call->lock);
  return stalled;
}

static size_t
take_body (char *bytes, size_t size, size_t count, void *data)
{
  struct site_call *call = data;

  while (is_stalled (call))
    usleep (LOOK_US);
  pthread_mutex_lock (&call->lock);
  call->body = need (realloc (call->body, call->len + size * count + 1));
  memcpy (call->body + call->len, bytes, size * count);
  call->len += size * count;
  call->body[call->len] = '\0';
  pthread_mutex_unlock (&call->lock);
  return size * count;
}

static int
look_at_end (void *data, curl_off_t down_total, curl_off_t down,
             curl_off_t up_total, curl_off_t up)
{
  struct site_call *call = data;
  bool broken_off;

  (void)down_total;
  (void)down;
  (void)up_total;
  (void)up;
  pthread_mutex_lock (&call->lock);
  broken_off = call->broken_off;
  pthread_mutex_unlock (&call->lock);
  return broken_off;
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

/* So that what a stalled caller's kernel takes in is known.  */
static int
bound_receive_buffer (void *data, curl_socket_t fd, curlsocktype purpose)
{
  int bytes = STALLED_SOCKET_BYTES;

  (void)data;
  (void)purpose;
  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) != 0)
    return CURL_SOCKOPT_ERROR;
  return CURL_SOCKOPT_OK;
}

static void
prepare (struct site_call *call, const struct site_http_request *ask)
{
  char *bearer = ask->key == NULL
                     ? NULL
                     : talloc_asprintf (call, "Bearer %s", ask->key);

  call->url = talloc_asprintf (call, "http://%s%s", ask->address, ask->path);
  add_header (call, "Authorization", bearer);
  add_header (call, "Idempotency-Key", ask->idempotency_key);
  add_header (call, "Expect", "");
  curl_easy_setopt (call->curl, CURLOPT_URL, call->url);
  curl_easy_setopt (call->curl, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
  curl_easy_setopt (call->curl, CURLOPT_TIMEOUT_MS, (long)SITE_WAIT_LIMIT_MS);
  curl_easy_setopt (call->curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (call->curl, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->curl, CURLOPT_XFERINFOFUNCTION, look_at_end);
  curl_easy_setopt (call->curl, CURLOPT_XFERINFODATA, call);
  curl_easy_setopt (call->curl, CURLOPT_NOPROGRESS, 0L);
  if (ask->stalled)
    {
      curl_easy_setopt (call->curl, CURLOPT_BUFFERSIZE,
                        (long)STALLED_RECEIVE_BYTES);
      curl_easy_setopt (call->curl, CURLOPT_SOCKOPTFUNCTION,
                        bound_receive_buffer);
    }
  if (ask->body != NULL)
    {
      call->request_body = talloc_strdup (call, ask->body);
      curl_easy_setopt (call->curl, CURLOPT_POSTFIELDS, call->request_body);
    }
  if (ask->method != NULL)
    {
      call->method = talloc_strdup (call, ask->method);
      curl_easy_setopt (call->curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static int
end_call (struct site_call *call)
{
  pthread_mutex_lock (&call->lock);
  call->broken_off = true;
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
site_call_start (TALLOC_CTX *ctx, const struct site_http_request *ask)
{
  struct site_call *call = need (talloc_zero (ctx, struct site_call));

  call->curl = need (curl_easy_init ());
  call->body = need (calloc (1, 1));
  call->stalled = ask->stalled;
  pthread_mutex_init (&call->lock, NULL);
  prepare (call, ask);
  if (pthread_create (&call->thread, NULL, run, call) != 0)
    abort ();
  talloc_set_destructor (call, end_call);
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
  bool holds;

  pthread_mutex_lock (&call->lock);
  holds = strstr (call->body, text) != NULL;
  pthread_mutex_unlock (&call->lock);
  return holds;
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

/* libcurl's own limit ends it.  */
struct site_call *
site_call (TALLOC_CTX *ctx, const struct site_http_request *ask)
{
  struct site_call *call = site_call_start (ctx, ask);

  while (!site_call_done (call))
    usleep (LOOK_US);
  return call;
}
