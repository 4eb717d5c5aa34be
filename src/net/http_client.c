/* http_client.c - libcurl's multi interface inside tevent.

   curl says which sockets and timeouts it waits for, but for those of calls.
   Needs: libcurl, tevent, timer.h.  */

#include "http_client.h"
#include "core/limits.h"
#include "buffer.h"
#include "clock.h"
#include "timer.h"
#include <curl/curl.h>
#include <string.h>
#include <strings.h>
#include <time.h>

/* Connections are aged in whole seconds; see limit_connection_age.  */
#define CONNECTION_AGE_MARGIN_MS 2000U

/**
 * struct mq_http_client - one multi handle and its calls
 * @ev: event loop
 * @multi: curl's side
 * @timer: curl's timeout, NULL when none is set
 * @immediate: ends calls that failed before curl had them
 * @active: calls that curl has
 * @deferred_calls: calls sent from within curl, which takes none then
 * @ended: finished or cancelled calls, still to be told and freed
 * @silent_ms: when a kept connection was last found silent, 0: never
 * @running: inside drive, where nothing that curl may use is freed
 * @in_curl: inside curl itself
 * @destroy_pending: destroyed; freed once drive is over
 */
struct mq_http_client
{
  struct tevent_context *ev;
  CURLM *multi;
  struct mq_timer *timer;
  struct tevent_immediate *immediate;
  struct mq_http_call *active;
  struct mq_http_call *deferred_calls;
  struct mq_http_call *ended;
  uint64_t silent_ms;
  bool running;
  bool in_curl;
  bool destroy_pending;
};

/**
 * struct mq_http_call - one request and its answer
 * @client: where it runs
 * @list: list of @client that it is in, NULL while its end is told
 * @next: in @list
 * @previous: in @list
 * @easy: curl's side
 * @timer: ends the call as timed out, NULL: none
 * @headers: of the request
 * @part: told each part, NULL: collect
 * @done: told the end, NULL once cancelled
 * @user: given to both
 * @body: what was collected
 * @total: bytes of the answer, collected or not
 * @body_max: bound on @total
 * @repeatable: curl may send it again by itself
 * @starts: how often curl was about to send the request
 * @failed: why we made curl give up, NONE when we did not
 * @result: how curl ended it
 */
struct mq_http_call
{
  struct mq_http_client *client;
  struct mq_http_call **list;
  struct mq_http_call *next;
  struct mq_http_call *previous;
  CURL *easy;
  struct mq_timer *timer;
  struct curl_slist *headers;
  mq_http_part *part;
  mq_http_done *done;
  void *user;
  struct mq_buffer body;
  size_t total;
  size_t body_max;
  bool repeatable;
  unsigned int starts;
  enum mq_error_type failed;
  CURLcode result;
};

struct client_socket
{
  struct mq_http_client *client;
  curl_socket_t fd;
  struct tevent_fd *fde;
};

/* Lists of calls.  */

static void
call_unlink (struct mq_http_call *call)
{
  if (call->list == NULL)
    return;
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    *call->list = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  call->list = NULL;
  call->next = NULL;
  call->previous = NULL;
}

static void
call_move (struct mq_http_call *call, struct mq_http_call **list)
{
  call_unlink (call);
  call->list = list;
  call->next = *list;
  if (call->next != NULL)
    call->next->previous = call;
  *list = call;
}

static int
call_freed (struct mq_http_call *call)
{
  call_unlink (call);
  if (call->easy != NULL)
    {
      curl_multi_remove_handle (call->client->multi, call->easy);
      curl_easy_cleanup (call->easy);
    }
  curl_slist_free_all (call->headers);
  return 0;
}

/* The end of a call.  */

static enum mq_error_type
curl_error_type (const struct mq_http_call *call)
{
  if (call->failed != MQ_ERR_NONE)
    return call->failed;
  switch (call->result)
    {
    case CURLE_OK:
      return MQ_ERR_NONE;
    case CURLE_OPERATION_TIMEDOUT:
      return MQ_ERR_TIMEOUT;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
      return MQ_ERR_PEER_LOST;
    case CURLE_OUT_OF_MEMORY:
      return MQ_ERR_NO_MEMORY;
    case CURLE_URL_MALFORMAT:
      return MQ_ERR_BAD_REQUEST;
    case CURLE_UNSUPPORTED_PROTOCOL:
      /* Of the URL, or of an answer that is not HTTP/1.  */
      return call->starts == 0 ? MQ_ERR_BAD_REQUEST : MQ_ERR_IO;
    default:
      return MQ_ERR_IO;
    }
}

/* Open connections can go silent for good while new ones work.  It shows as a
   timeout without a byte of answer on a connection that was kept from an
   earlier call.  Others that are kept may be silent too, and each would cost
   one more call its timeout, so none older than this moment is used again.  */
static void
record_unresponsive_connection (struct mq_http_call *call)
{
  long connects = 0;

  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  if (curl_error_type (call) == MQ_ERR_TIMEOUT && call->starts > 0
      && connects == 0 && call->total == 0)
    call->client->silent_ms = mq_clock_ms ();
}

/* curl compares the age of a connection in whole seconds: a bound one second
   below the time since the silence leaves out every connection from before
   it, and some from just after it.  Once longer has passed than a connection
   is kept unused, those that are left have worked since.  */
static void
limit_connection_age (struct mq_http_client *client, CURL *easy)
{
  uint64_t since = mq_clock_ms () - client->silent_ms;

  if (client->silent_ms == 0)
    return;
  if (since > MQ_HTTP_REUSE_MS + CONNECTION_AGE_MARGIN_MS)
    client->silent_ms = 0;
  else if (since < CONNECTION_AGE_MARGIN_MS)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_MAXLIFETIME_CONN,
                      (long)(since / 1000) - 1);
}

static uint32_t
retry_after_ms (CURL *easy)
{
  curl_off_t seconds = 0;

  curl_easy_getinfo (easy, CURLINFO_RETRY_AFTER, &seconds);
  if (seconds <= 0)
    return 0;
  return seconds > UINT32_MAX / 1000 ? UINT32_MAX : (uint32_t)seconds * 1000;
}

/* A request is known not to have been sent only when curl never came to the
   point of sending it (about_to_send); from then on it is in doubt.  */
static void
notify_call_end (struct mq_http_call *call)
{
  mq_http_done *done = call->done;
  struct mq_http_result result = { .error = curl_error_type (call),
                                   .sent = call->starts > 0,
                                   .body = mq_buffer_text (&call->body),
                                   .len = call->body.len };

  if (call->easy != NULL)
    {
      long status = 0;

      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      result.status = (int)status;
      result.retry_after_ms = retry_after_ms (call->easy);
      record_unresponsive_connection (call);
    }
  call->done = NULL;
  if (done != NULL)
    done (&result, call->user);
}

static void
end_calls (struct mq_http_client *client)
{
  while (client->ended != NULL && !client->destroy_pending)
    {
      struct mq_http_call *call = client->ended;

      call_unlink (call);
      if (call->done != NULL)
        notify_call_end (call);
      talloc_free (call);
    }
}

/* curl inside the event loop.  */

static void
start_call (struct mq_http_call *call)
{
  struct mq_http_client *client = call->client;

  if (curl_multi_add_handle (client->multi, call->easy) == CURLM_OK)
    {
      call_move (call, &client->active);
      return;
    }
  call->failed = MQ_ERR_NO_MEMORY;
  call_move (call, &client->ended);
}

static void
collect_finished (struct mq_http_client *client)
{
  struct CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      struct mq_http_call *call = NULL;

      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      call->result = message->data.result;
      call_move (call, &client->ended);
    }
}

/* A client that is destroyed by it is freed last.  */
static void
tell_ended (struct mq_http_client *client)
{
  client->running = true;
  end_calls (client);
  client->running = false;
  if (client->destroy_pending)
    talloc_free (client);
}

/* Callbacks may send, cancel and destroy at will: what they end is freed when
   curl has returned, what they send is started then.  */
static void
drive (struct mq_http_client *client, curl_socket_t fd, int bits)
{
  int under_way;

  client->running = true;
  client->in_curl = true;
  curl_multi_socket_action (client->multi, fd, bits, &under_way);
  client->in_curl = false;
  collect_finished (client);
  while (client->deferred_calls != NULL && !client->destroy_pending)
    start_call (client->deferred_calls);
  tell_ended (client);
}

static void
timer_fired (void *data)
{
  struct mq_http_client *client = data;

  client->timer = NULL;
  drive (client, CURL_SOCKET_TIMEOUT, 0);
}

static void
run_immediate (struct tevent_context *ev, struct tevent_immediate *im,
               void *data)
{
  (void)ev;
  (void)im;
  drive (data, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *user)
{
  struct mq_http_client *client = user;

  (void)multi;
  TALLOC_FREE (client->timer);
  if (timeout_ms < 0 || client->destroy_pending)
    return 0;
  client->timer = mq_timer_add (client, client->ev, (uint64_t)timeout_ms,
                                timer_fired, client);
  return client->timer == NULL ? -1 : 0;
}

static void
socket_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
              void *data)
{
  struct client_socket *sock = data;
  int bits = 0;

  (void)ev;
  (void)fde;
  if (flags & TEVENT_FD_READ)
    bits |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    bits |= CURL_CSELECT_OUT;
  drive (sock->client, sock->fd, bits);
}

/* tevent hides errors from one that waits for writing only, as curl does
   while it connects: a connection refused late would go unseen until curl's
   next timer.  So a wait for writing is also one for reading, which shows
   errors; there is nothing else to read before curl asks for it.  */
static uint16_t
flags_of (int what)
{
  return what == CURL_POLL_IN ? TEVENT_FD_READ
                              : TEVENT_FD_READ | TEVENT_FD_WRITE;
}

static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *assigned)
{
  struct mq_http_client *client = user;
  struct client_socket *sock = assigned;

  (void)easy;
  if (what == CURL_POLL_REMOVE || client->destroy_pending)
    {
      talloc_free (sock);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (sock != NULL)
    {
      tevent_fd_set_flags (sock->fde, flags_of (what));
      return 0;
    }
  sock = talloc_zero (client, struct client_socket);
  if (sock == NULL)
    return -1;
  sock->client = client;
  sock->fd = fd;
  sock->fde = tevent_add_fd (client->ev, sock, fd, flags_of (what),
                             socket_ready, sock);
  curl_multi_assign (client->multi, fd, sock);
  return sock->fde == NULL ? -1 : 0;
}

/* A request and its answer.  */

/* curl comes here whenever it has a connection and is about to send.

   The failure: a kept connection is closed by the other side just as the
   request goes out.  curl then sends the request again on a new connection
   by itself, whatever its method, and if the first one was read after all,
   the call is done twice.  curl has no option against it, and giving up kept
   connections would cost each call a connection; but the second sending has
   to pass here, where it is stopped, and the call ends as PEER_LOST, sent.
   tests/test_http.c has the case.  */
static int
about_to_send (void *user, char *peer_ip, char *own_ip, int peer_port,
               int own_port)
{
  struct mq_http_call *call = user;

  (void)peer_ip;
  (void)own_ip;
  (void)peer_port;
  (void)own_port;
  if (call->starts > 0 && !call->repeatable)
    {
      call->failed = MQ_ERR_PEER_LOST;
      return CURL_PREREQFUNC_ABORT;
    }
  call->starts++;
  return CURL_PREREQFUNC_OK;
}

/* Bytes of the answer.  Any return but their number makes curl give up.  */
static size_t
on_response_data (char *data, size_t size, size_t count, void *user)
{
  struct mq_http_call *call = user;
  size_t len = size * count;

  if (call->done == NULL || call->client->destroy_pending)
    return 0;
  if (len > call->body_max - call->total)
    {
      call->failed = MQ_ERR_TOO_LARGE;
      return 0;
    }
  call->total += len;
  if (call->part != NULL)
    {
      call->part (data, len, call->user);
      return call->done == NULL || call->client->destroy_pending ? 0 : len;
    }
  if (mq_buffer_append (call, &call->body, data, len, call->body_max))
    return len;
  call->failed = MQ_ERR_NO_MEMORY;
  return 0;
}

static void
add_header (struct mq_http_call *call, const char *line)
{
  struct curl_slist *longer = curl_slist_append (call->headers, line);

  if (longer == NULL)
    call->failed = MQ_ERR_NO_MEMORY;
  else
    call->headers = longer;
}

/* Control characters in a value that a caller chose would end the header and
   let the caller write headers, or a second request, of its own.  */
static bool
header_line_is_valid (const char *line)
{
  for (; *line != '\0'; line++)
    if ((unsigned char)*line < ' ' && *line != '\t')
      return false;
  return true;
}

/* An empty "Expect:" keeps curl from waiting a second for leave to send a
   large body, an empty "Content-Type:" from calling it a form.  */
static void
set_headers (struct mq_http_call *call, const char *const *lines)
{
  static const char content_type[] = "Content-Type:";
  bool typed = false;

  for (; lines != NULL && *lines != NULL; lines++)
    {
      if (!header_line_is_valid (*lines))
        call->failed = MQ_ERR_BAD_REQUEST;
      if (strncasecmp (*lines, content_type, strlen (content_type)) == 0)
        typed = true;
      add_header (call, *lines);
    }
  if (!typed)
    add_header (call, content_type);
  add_header (call, "Expect:");
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
set_method (struct mq_http_call *call, const struct mq_http_send *send)
{
  CURL *easy = call->easy;
  bool get = strcmp (send->method, "GET") == 0;
  bool head = strcmp (send->method, "HEAD") == 0;

  call->repeatable = get || head;
  if (head)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  if (get && send->len == 0)
    return;
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, send->method);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)send->len);
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS,
                    send->len == 0 ? "" : send->body);
}

static void
set_connection (struct mq_http_call *call, const struct mq_http_send *send)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_URL, send->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)MQ_HTTP_CONNECT_MS);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)MQ_HTTP_REUSE_MS / 1000);
  limit_connection_age (call->client, easy);
}

static void
set_callbacks (struct mq_http_call *call)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_response_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, about_to_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
}

static void
on_call_timeout (void *data)
{
  struct mq_http_call *call = data;
  struct mq_http_client *client = call->client;

  call->timer = NULL;
  if (call->list == NULL || call->list == &client->ended)
    return;
  call->failed = MQ_ERR_TIMEOUT;
  call_move (call, &client->ended);
  if (!client->running)
    tell_ended (client);
}

/* Failure: this process is held up for longer than a call may take; curl looks
   at the time before the socket, and the call ends as timed out beside its
   whole answer.  Our timers come after what has arrived.  */
static void
limit_time (struct mq_http_call *call, uint32_t timeout_ms)
{
  if (timeout_ms == 0)
    return;
  call->timer = mq_timer_add (call, call->client->ev, timeout_ms,
                              on_call_timeout, call);
  if (call->timer == NULL)
    call->failed = MQ_ERR_NO_MEMORY;
}

struct mq_http_call *
mq_http_client_send (struct mq_http_client *client,
                     const struct mq_http_send *send)
{
  struct mq_http_call *call = talloc_zero (client, struct mq_http_call);

  if (call == NULL)
    return NULL;
  call->client = client;
  call->part = send->part;
  call->done = send->done;
  call->user = send->user;
  call->body_max = send->body_max == 0 ? MQ_FRAME_MAX_BYTES : send->body_max;
  talloc_set_destructor (call, call_freed);
  call->easy = curl_easy_init ();
  if (call->easy == NULL)
    call->failed = MQ_ERR_NO_MEMORY;
  else
    {
      set_connection (call, send);
      set_method (call, send);
      set_headers (call, send->headers);
      set_callbacks (call);
      limit_time (call, send->timeout_ms);
    }
  if (call->failed != MQ_ERR_NONE)
    call_move (call, &client->ended);
  else if (client->in_curl)
    call_move (call, &client->deferred_calls);
  else
    start_call (call);
  if (client->ended != NULL && !client->running)
    tevent_schedule_immediate (client->immediate, client->ev, run_immediate,
                               client);
  return call;
}

void
mq_http_call_cancel (struct mq_http_call *call)
{
  struct mq_http_client *client = call->client;

  call->done = NULL;
  if (!client->running)
    talloc_free (call);
  else if (call->list != NULL)
    call_move (call, &client->ended);
}

/* Start and stop.  */

static void
free_calls (struct mq_http_call **list)
{
  while (*list != NULL)
    talloc_free (*list);
}

/* Calls under way are dropped without a callback.  Within drive curl and the
   callbacks still use the client: it is kept (a destructor that returns -1)
   and drive frees it.  */
static int
client_freed (struct mq_http_client *client)
{
  client->destroy_pending = true;
  if (client->running)
    return -1;
  free_calls (&client->deferred_calls);
  free_calls (&client->active);
  free_calls (&client->ended);
  if (client->multi != NULL)
    curl_multi_cleanup (client->multi);
  curl_global_cleanup ();
  return 0;
}

static bool
set_up_multi (struct mq_http_client *client)
{
  CURLM *multi = curl_multi_init ();

  client->multi = multi;
  if (multi == NULL)
    return false;
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS,
                     (long)MQ_HTTP_KEPT_CONNECTIONS);
  return true;
}

struct mq_http_client *
mq_http_client_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                       struct mq_error *error)
{
  struct mq_http_client *client = talloc_zero (ctx, struct mq_http_client);

  if (client == NULL || curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "curl", NULL);
      talloc_free (client);
      return NULL;
    }
  client->ev = ev;
  talloc_set_destructor (client, client_freed);
  client->immediate = tevent_create_immediate (client);
  if (client->immediate == NULL || !set_up_multi (client))
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "curl", NULL);
      talloc_free (client);
      return NULL;
    }
  return client;
}

void
mq_http_client_destroy (struct mq_http_client *client)
{
  talloc_free (client);
}
