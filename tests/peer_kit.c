/* peer_kit.c - fixture for the tests of peer connections: networks with
   recorded callbacks, a TCP relay and a raw client.

   Needs: peer_kit.h, Criterion.  */

#include "peer_kit.h"
#include "core/action.h"
#include "net/peer_net.h"
#include "net/clock.h"
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_MS = 20000,
  TURN_MS = 100,
  RELAY_PAIRS_MAX = 64,
  RELAY_BYTES = 16 << 10
};

struct tevent_context *kit_ev;
static uint64_t last_boot = 1000;
static uint8_t client_keys[256][MQ_KEY_BYTES];

void
kit_start (void)
{
  kit_ev = tevent_context_init (NULL);
  for (int i = 0; i < 256; i++)
    memset (client_keys[i], i, MQ_KEY_BYTES);
}

void
kit_stop (void)
{
  TALLOC_FREE (kit_ev);
}

/* Time counted for one iteration: at most a tick, so that a pause of the
   machine does not count against the timeout.  */
static uint64_t
run_turn (void)
{
  uint64_t start = mq_clock_ms ();
  uint64_t spent;

  tevent_loop_once (kit_ev);
  spent = mq_clock_ms () - start;
  return spent < TURN_MS ? spent : TURN_MS;
}

void
kit_wait (bool (*condition) (const void *a, const void *b), const void *a,
          const void *b)
{
  uint64_t waited = 0;

  while (!condition (a, b))
    {
      cr_assert_lt (waited, WAIT_MS, "waited in vain");
      waited += run_turn ();
    }
}

static struct kit_event *
add_event (struct kit_node *node, enum kit_event_type type, uint32_t peer)
{
  struct kit_event *event = &node->events[node->count++];

  cr_assert_lt (node->count, KIT_EVENTS_MAX);
  event->type = type;
  event->peer = peer;
  return event;
}

static void
end_event (struct kit_node *node, enum kit_event_type type)
{
  if (!node->destroy[type] || node->net == NULL)
    return;
  if (node->free_ctx)
    TALLOC_FREE (node->ctx);
  else
    mq_peer_net_destroy (node->net);
  node->net = NULL;
}

bool
kit_send_token (struct kit_node *node, uint32_t index)
{
  struct mq_message token = { .type = MQ_MSG_TOKEN };

  token.u.token.index = index;
  token.u.token.text = "text";
  return mq_peer_net_send (node->net, node->peer, &token);
}

static void
send_burst (struct kit_node *node)
{
  for (uint32_t i = 0; i < node->burst; i++)
    cr_assert (kit_send_token (node, i));
}

static void
on_up (uint32_t peer, const struct mq_peer_info *info, void *user)
{
  struct kit_node *node = user;

  add_event (node, KIT_UP, peer)->boot = info->boot;
  node->peer = peer;
  node->up++;
  send_burst (node);
  end_event (node, KIT_UP);
}

static void
on_down (uint32_t peer, enum mq_error_type why, void *user)
{
  struct kit_node *node = user;

  add_event (node, KIT_DOWN, peer)->why = why;
  node->up--;
  end_event (node, KIT_DOWN);
}

static void
on_message (uint32_t peer, const struct mq_message *message, void *user)
{
  struct kit_node *node = user;
  struct mq_message *copy = talloc (node, struct mq_message);

  mq_message_copy (copy, copy, message);
  add_event (node, KIT_MESSAGE, peer)->message = copy;
  end_event (node, KIT_MESSAGE);
}

struct kit_node *
kit_node (const struct kit_options *options)
{
  struct kit_node *node = talloc_zero (kit_ev, struct kit_node);
  struct mq_peer_callbacks callbacks = { on_up, on_down, on_message, node };
  struct mq_peer_options net = { .listen = options->listen };
  struct mq_error error;

  if (net.listen == NULL)
    net.listen = "127.0.0.1:0";
  net.self.host = options->host;
  net.self.address = options->address;
  net.self.data_centre = "plateau";
  net.self.boot = options->boot;
  net.heartbeat_interval_ms = KIT_HEARTBEAT_MS;
  net.peer_timeout_ms = options->peer_timeout_ms ? options->peer_timeout_ms
                                                 : KIT_PEER_TIMEOUT_MS;
  memset (net.site_key, options->key, sizeof net.site_key);
  node->ctx = talloc_new (node);
  node->net = mq_peer_net_create (node->ctx, kit_ev, &net, &callbacks, &error);
  cr_assert_not_null (node->net, "%s", mq_error_name (error.type));
  snprintf (node->address, sizeof node->address, "127.0.0.1:%u",
            mq_peer_net_port (node->net));
  return node;
}

void
kit_destroy (struct kit_node *node)
{
  mq_peer_net_destroy (node->net);
  node->net = NULL;
}

size_t
kit_count (const struct kit_node *node, enum kit_event_type type)
{
  size_t count = 0;

  for (size_t i = 0; i < node->count; i++)
    count += node->events[i].type == type;
  return count;
}

static bool
is_up (const void *node, const void *unused)
{
  (void)unused;
  return ((const struct kit_node *)node)->up > 0;
}

static bool
is_down (const void *node, const void *unused)
{
  (void)unused;
  return ((const struct kit_node *)node)->up == 0;
}

void
kit_wait_up (const struct kit_node *node)
{
  kit_wait (is_up, node, NULL);
}

void
kit_wait_down (const struct kit_node *node)
{
  kit_wait (is_down, node, NULL);
}

/* Condition: a number of callbacks of one type.  */
struct awaited
{
  enum kit_event_type type;
  size_t count;
};

static bool
has_count (const void *node, const void *awaited)
{
  const struct awaited *of = awaited;

  return kit_count (node, of->type) >= of->count;
}

void
kit_wait_count (const struct kit_node *node, enum kit_event_type type,
                size_t count)
{
  struct awaited awaited = { type, count };

  kit_wait (has_count, node, &awaited);
}

static bool
finds_address (const void *node, const void *address)
{
  return mq_peer_net_find (((const struct kit_node *)node)->net, address) != 0;
}

void
kit_wait_found (const struct kit_node *node, const char *address)
{
  kit_wait (finds_address, node, address);
}

bool
kit_is_single (const struct kit_node *node)
{
  const struct mq_conn *conns = node->net->conns;

  return conns != NULL && conns->next == NULL;
}

static bool
is_single (const void *node, const void *unused)
{
  (void)unused;
  return kit_is_single (node);
}

void
kit_wait_single (const struct kit_node *node)
{
  kit_wait (is_single, node, NULL);
}

void
kit_shut_writing (const struct kit_node *node)
{
  shutdown (node->net->conns->fd, SHUT_WR);
}

static bool
has_received_frames (const void *node, const void *count)
{
  const struct kit_node *of = node;

  return mq_peer_net_counters (of->net)->frames_in >= *(const uint64_t *)count;
}

void
kit_run_frames (const struct kit_node *node, uint64_t count)
{
  uint64_t frames = mq_peer_net_counters (node->net)->frames_in + count;

  kit_wait (has_received_frames, node, &frames);
}

/* One direction of a relayed connection.  */
struct kit_pipe
{
  int from;
  int to;
  bool blackholed;
  bool held; /* forwards only the first bytes */
  struct tevent_fd *event;
};

struct kit_relay
{
  int fd;
  uint16_t port;
  char address[MQ_NAME_MAX];
  struct kit_pipe pipes[RELAY_PAIRS_MAX][2];
  size_t pairs;
  bool hold;
};

static int
connect_port (uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  cr_assert_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

static void
on_pipe (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
         void *data)
{
  struct kit_pipe *pipe = data;
  uint8_t bytes[RELAY_BYTES];
  ssize_t got = recv (pipe->from, bytes, sizeof bytes, 0);

  (void)ev;
  (void)event;
  (void)flags;
  if (got <= 0)
    {
      TALLOC_FREE (pipe->event);
      if (!pipe->blackholed)
        shutdown (pipe->to, SHUT_WR);
    }
  else if (!pipe->blackholed)
    send (pipe->to, bytes, (size_t)got, MSG_NOSIGNAL);
  if (pipe->held && pipe->event != NULL)
    TEVENT_FD_NOT_READABLE (pipe->event);
}

static void
start_pipe (struct kit_relay *relay, struct kit_pipe *pipe, int from, int to)
{
  pipe->from = from;
  pipe->to = to;
  pipe->event
      = tevent_add_fd (kit_ev, relay, from, TEVENT_FD_READ, on_pipe, pipe);
}

static void
on_relay (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
          void *data)
{
  struct kit_relay *relay = data;
  int client = accept (relay->fd, NULL, NULL);
  int server = connect_port (relay->port);
  struct kit_pipe *pair = relay->pipes[relay->pairs++];

  (void)ev;
  (void)event;
  (void)flags;
  cr_assert_lt (relay->pairs, RELAY_PAIRS_MAX);
  start_pipe (relay, &pair[0], client, server);
  start_pipe (relay, &pair[1], server, client);
  pair[0].held = relay->hold;
}

struct kit_relay *
kit_relay (uint16_t port)
{
  struct kit_relay *relay = talloc_zero (kit_ev, struct kit_relay);
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  relay->port = port;
  relay->fd = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (relay->fd, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (relay->fd, RELAY_PAIRS_MAX), 0);
  getsockname (relay->fd, (struct sockaddr *)&at, &len);
  snprintf (relay->address, sizeof relay->address, "127.0.0.1:%u",
            ntohs (at.sin_port));
  tevent_add_fd (kit_ev, relay, relay->fd, TEVENT_FD_READ, on_relay, relay);
  return relay;
}

const char *
kit_relay_address (const struct kit_relay *relay)
{
  return relay->address;
}

void
kit_relay_blackhole (struct kit_relay *relay, bool to_server, bool to_client)
{
  for (size_t i = 0; i < relay->pairs; i++)
    {
      relay->pipes[i][0].blackholed |= to_server;
      relay->pipes[i][1].blackholed |= to_client;
    }
}

void
kit_relay_hold (struct kit_relay *relay)
{
  relay->hold = true;
}

void
kit_relay_resume (struct kit_relay *relay)
{
  relay->hold = false;
  for (size_t i = 0; i < relay->pairs; i++)
    {
      relay->pipes[i][0].held = false;
      if (relay->pipes[i][0].event != NULL)
        TEVENT_FD_READABLE (relay->pipes[i][0].event);
    }
}

void
kit_relay_cut (struct kit_relay *relay)
{
  for (size_t i = 0; i < relay->pairs; i++)
    for (size_t j = 0; j < 2; j++)
      {
        TALLOC_FREE (relay->pipes[i][j].event);
        shutdown (relay->pipes[i][j].from, SHUT_RDWR);
      }
}

void
kit_relay_target (struct kit_relay *relay, uint16_t port)
{
  relay->port = port;
}

struct kit_client *
kit_client (const struct kit_node *to, const char *host, uint8_t key)
{
  struct kit_client *client = talloc_zero (kit_ev, struct kit_client);
  struct mq_peer_info self = { .host = host,
                               .address = "127.0.0.1:9",
                               .data_centre = "hann",
                               .boot = ++last_boot };

  client->fd = connect_port (mq_peer_net_port (to->net));
  client->reader = mq_frame_reader_create (client);
  client->writer = mq_frame_writer_create (client);
  client->handshake
      = mq_handshake_create (client, MQ_SIDE_CONNECT, client_keys[key], &self);
  return client;
}

void
kit_client_send (struct kit_client *client, const uint8_t *data, size_t len)
{
  cr_assert (mq_frame_writer_add (client->writer, data, len));
  mq_frame_writer_flush (client->writer, client->fd);
}

void
kit_client_send_bytes (struct kit_client *client, const void *data, size_t len)
{
  cr_assert_eq (send (client->fd, data, len, MSG_NOSIGNAL), (ssize_t)len);
}

/* Reads a single frame: the length first, then the body.  */
static bool
poll_frame (struct kit_client *client)
{
  uint8_t head[MQ_FRAME_HEADER_BYTES];
  ssize_t got = recv (client->fd, head, sizeof head, MSG_DONTWAIT | MSG_PEEK);
  size_t len;

  if (got == 0 || (got < 0 && errno != EAGAIN))
    client->closed = true;
  if (got != (ssize_t)sizeof head)
    return false;
  len = (size_t)head[2] << 8 | head[3];
  cr_assert_leq (len + sizeof head, sizeof client->frame);
  got = recv (client->fd, client->frame, len + sizeof head,
              MSG_DONTWAIT | MSG_PEEK);
  if (got != (ssize_t)(len + sizeof head))
    return false;
  recv (client->fd, client->frame, sizeof head, 0);
  recv (client->fd, client->frame, len, 0);
  client->frame_len = len;
  return true;
}

static bool
has_frame (const void *client, const void *got)
{
  struct kit_client *of = (struct kit_client *)client;

  *(bool *)got = poll_frame (of);
  return of->closed || *(const bool *)got;
}

bool
kit_client_receive (struct kit_client *client)
{
  bool got = false;

  kit_wait (has_frame, client, &got);
  return got;
}

void
kit_client_prove (struct kit_client *client)
{
  size_t len;
  const uint8_t *data = mq_handshake_hello (client->handshake, &len);

  kit_client_send (client, data, len);
  cr_assert (kit_client_receive (client));
  cr_assert_not_null (mq_handshake_read_hello (
      client->handshake, client->frame, client->frame_len, NULL));
  data = mq_handshake_proof (client->handshake, &len);
  kit_client_send (client, data, len);
}

void
kit_client_close (struct kit_client *client)
{
  close (client->fd);
  talloc_free (client);
}
