/* http_client.c - HTTP client: libcurl's multi interface on tevent.

   curl reports the sockets and timeouts that it waits for; the timeouts of
   calls are own timers.
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

/* Safety margin, since curl compares connection ages in whole seconds; see
   limit_connection_age.  */
#define CONNECTION_AGE_MARGIN_MS 2000U

/**
 * struct mq_http_client - a curl multi handle and its calls
 * @timer: curl's timeout, NULL if none is set
 * @immediate: ends calls that failed before they were passed to curl
 * @active: calls passed to curl
 * @deferred_calls: calls made inside a curl callback, where none can be added
 * @ended: finished or cancelled calls that are still to be reported and freed
 * @unresponsive_ms: time at which a reused connection last failed to respond,
 *             monotonic clock; 0: never
 * @running: inside drive; nothing that curl may use is freed
 * @in_curl: inside a curl function
 * @destroy_pending: destroyed; freed when drive returns
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
  uint64_t unresponsive_ms;
  bool running;
  bool in_curl;
  bool destroy_pending;
};

/**
 * struct mq_http_call - one request and its response
 * @list: list of @client that contains the call, NULL while its end is
 *        reported
 * @next: in @list
 * @previous: in @list
 * @timer: timeout of the call, NULL if it has none
 * @part: called for each part of the body; NULL: collect it in @body
 * @done: called at the end; NULL once called or cancelled
 * @user: argument of both
 * @total: bytes of the response body received
 * @body_max: limit of @total
 * @repeatable: curl may resend the request by itself
 * @starts: how often curl was about to send the request
 * @failed: reason for which the client aborted the call, NONE if it did not
 * @result: curl's result
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
      /* Unsupported URL scheme, or a response that is not HTTP/1.  */
      return call->starts == 0 ? MQ_ERR_BAD_REQUEST : MQ_ERR_IO;
    default:
      return MQ_ERR_IO;
    }
}

/* Detects a reused connection that no longer responds: a timeout without any
   byte of the response.  Other idle connections may be dead too, and each
   would cost another call its timeout, so that all older ones are then no
   longer reused.  */
static void
record_unresponsive_connection (struct mq_http_call *call)
{
  long connects = 0;

  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  if (curl_error_type (call) == MQ_ERR_TIMEOUT && call->starts > 0
      && connects == 0 && call->total == 0)
    call->client->unresponsive_ms = mq_clock_ms ();
}

/* Excludes the connections that were open when a reused one failed to respond.
   curl compares ages in whole seconds, so that the limit is one second lower
   and also excludes some newer connections.  After the maximum idle time all
   connections are newer or have been used successfully since.  */
static void
limit_connection_age (struct mq_http_client *client, CURL *easy)
{
  uint64_t since = mq_clock_ms () - client->unresponsive_ms;

  if (client->unresponsive_ms == 0)
    return;
  if (since > MQ_HTTP_REUSE_MS + CONNECTION_AGE_MARGIN_MS)
    client->unresponsive_ms = 0;
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

/* A request counts as not sent only if curl never reached about_to_send; after
   that its effect is unknown.  */
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

/* Frees a client destroyed by a callback last.  */
static void
tell_ended (struct mq_http_client *client)
{
  client->running = true;
  end_calls (client);
  client->running = false;
  if (client->destroy_pending)
    talloc_free (client);
}

/* Callbacks may send, cancel and destroy.  Calls that they end are freed, and
   calls that they make are started, after curl has returned.  */
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
on_curl_socket_ready (struct tevent_context *ev, struct tevent_fd *fde,
                      uint16_t flags, void *data)
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

/* tevent does not report errors to a descriptor that waits only for writing,
   as curl's do while connecting, so that a refused connection would go
   unnoticed until curl's next timeout.  Waits for reading as well, which
   reports errors.  */
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
                             on_curl_socket_ready, sock);
  curl_multi_assign (client->multi, fd, sock);
  return sock->fde == NULL ? -1 : 0;
}

/* Called by curl each time it is about to send the request on a connection.

   If the server closes a reused connection while the request is being sent,
   curl resends it on a new connection, whatever its method, and the request
   could run twice. curl has no option to prevent this, so the second attempt
   is aborted here unless the request may be repeated; the call then fails with
   PEER_LOST and sent set.  */
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

/* Returning anything but the number of bytes makes curl abort the
   transfer.  */
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

/* Rejects control characters, with which a value from a caller could inject
   headers or a second request.  */
static bool
header_line_is_valid (const char *line)
{
  for (; *line != '\0'; line++)
    if ((unsigned char)*line < ' ' && *line != '\t')
      return false;
  return true;
}

/* An empty "Expect:" keeps curl from waiting for "100 Continue" before a large
   body; an empty "Content-Type:" keeps it from declaring a form.  */
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

/* Uses an own timer instead of curl's timeout: curl checks the time before the
   socket, so that after a stall of this process a call would time out although
   its whole response had arrived.  Own timers run after pending input.  */
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

static void
free_calls (struct mq_http_call **list)
{
  while (*list != NULL)
    talloc_free (*list);
}

/* Drops active calls without a callback.  Inside drive, curl and callbacks
   still use the client: returning -1 keeps its memory, and drive frees it.  */
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
