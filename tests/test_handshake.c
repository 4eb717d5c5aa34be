/* test_handshake.c - authentication by the site key.

   A raw client connects to a host "m".  Named "z", it is not the leader and
   has to send its Proof first; named "a", it is the leader and receives the
   host's Proof first.
   Needs: peer_kit.h, proto/peer.pb-c.h, Criterion.  */

#include "../proto/peer.pb-c.h"
#include "core/limits.h"
#include "net/codec.h"
#include "peer_kit.h"
#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  KEY = 7,
  WRONG_KEY = 8,
  IDLE_CLIENTS = MQ_PEER_UNAUTHENTICATED_MAX + 20
};

/* cppcheck-suppress unknownMacro */
TestSuite (handshake, .init = kit_start, .fini = kit_stop, .timeout = 120);

static struct kit_node *
start_node (void)
{
  return kit_node (
      &(struct kit_options){ .host = "m", .boot = 1, .key = KEY });
}

static void
send_message (struct kit_client *client, enum mq_message_type type)
{
  struct mq_message message = { .type = type };
  size_t len;
  uint8_t *data = mq_codec_pack (client, &message, &len);

  kit_client_send (client, data, len);
}

static void
send_hello (struct kit_client *client)
{
  size_t len;
  const uint8_t *hello = mq_handshake_hello (client->handshake, &len);

  kit_client_send (client, hello, len);
}

/* Sends the client's Hello and receives the host's.  */
static void
swap_hellos (struct kit_client *client)
{
  send_hello (client);
  cr_assert (kit_client_receive (client));
  cr_assert_not_null (mq_handshake_read_hello (
      client->handshake, client->frame, client->frame_len, NULL));
}

static void
send_length (struct kit_client *client, uint32_t len)
{
  uint8_t head[4] = { (uint8_t)(len >> 24), (uint8_t)(len >> 16),
                      (uint8_t)(len >> 8), (uint8_t)len };

  kit_client_send_bytes (client, head, sizeof head);
}

static void
prove (struct kit_client *client)
{
  kit_client_prove (client);
}

/* Reflects the host's own Proof; its tag must cause a rejection.  */
static void
send_reflected_proof (struct kit_client *client)
{
  swap_hellos (client);
  cr_assert (kit_client_receive (client));
  kit_client_send (client, client->frame, client->frame_len);
}

static void
send_reflected_hello (struct kit_client *client)
{
  cr_assert (kit_client_receive (client));
  kit_client_send (client, client->frame, client->frame_len);
}

/* Sends a correct Proof after a Hello in which one letter was altered in
   transit.  */
static void
send_altered_hello (struct kit_client *client)
{
  size_t len;
  const uint8_t *hello = mq_handshake_hello (client->handshake, &len);
  uint8_t *altered = talloc_memdup (client, hello, len);
  uint8_t *place = memmem (altered, len, "hann", 4);

  cr_assert_not_null (place);
  place[0] = 'H';
  kit_client_send (client, altered, len);
  cr_assert (kit_client_receive (client));
  mq_handshake_read_hello (client->handshake, client->frame, client->frame_len,
                           NULL);
  hello = mq_handshake_proof (client->handshake, &len);
  kit_client_send (client, hello, len);
}

static void
send_heartbeat_first (struct kit_client *client)
{
  send_message (client, MQ_MSG_NONE);
}

static void
send_call_before_proof (struct kit_client *client)
{
  swap_hellos (client);
  send_message (client, MQ_MSG_CALL);
}

static void
send_hello_twice (struct kit_client *client)
{
  send_hello (client);
  send_hello (client);
}

static void
send_proof_first (struct kit_client *client)
{
  static const uint8_t empty_proof[] = { 4 << 3 | 2, 0 };

  kit_client_send (client, empty_proof, sizeof empty_proof);
}

static void
send_empty_proof (struct kit_client *client)
{
  swap_hellos (client);
  send_proof_first (client);
}

static void
send_large_frame (struct kit_client *client)
{
  send_length (client, MQ_PEER_UNAUTHENTICATED_BYTES + 1);
}

static void
send_huge_frame (struct kit_client *client)
{
  send_length (client, UINT32_MAX);
}

static void
send_empty_frame (struct kit_client *client)
{
  send_length (client, 0);
}

static void
send_http (struct kit_client *client)
{
  kit_client_send_bytes (client, "GET / HTTP/1.1\r\n\r\n", 18);
}

static void
send_nothing (struct kit_client *client)
{
  (void)client;
}

static void
send_half_a_frame (struct kit_client *client)
{
  send_length (client, 100);
  kit_client_send_bytes (client, "half", 4);
}

struct attack_case
{
  const char *name;
  void (*attack) (struct kit_client *client);
  const char *host;
  uint8_t key;
  enum mq_error_type refused; /* NONE: the connection becomes ready */
};

static const struct attack_case attack_cases[] = {
  { "right key", prove, "z", KEY, MQ_ERR_NONE },
  { "right key, leads", prove, "a", KEY, MQ_ERR_NONE },
  { "wrong key", prove, "z", WRONG_KEY, MQ_ERR_BAD_PEER },
  { "wrong key, leads", prove, "a", WRONG_KEY, MQ_ERR_BAD_PEER },
  { "proof reflected", send_reflected_proof, "a", KEY, MQ_ERR_BAD_PEER },
  { "hello reflected", send_reflected_hello, "z", KEY, MQ_ERR_BAD_PEER },
  { "hello altered", send_altered_hello, "z", KEY, MQ_ERR_BAD_PEER },
  { "empty proof", send_empty_proof, "z", KEY, MQ_ERR_BAD_PEER },
  { "proof first", send_proof_first, "z", KEY, MQ_ERR_BAD_FRAME },
  { "heartbeat first", send_heartbeat_first, "z", KEY, MQ_ERR_BAD_FRAME },
  { "call before proof", send_call_before_proof, "z", KEY, MQ_ERR_BAD_FRAME },
  { "call, leads", send_call_before_proof, "a", KEY, MQ_ERR_BAD_FRAME },
  { "hello twice", send_hello_twice, "z", KEY, MQ_ERR_BAD_FRAME },
  { "large frame", send_large_frame, "z", KEY, MQ_ERR_TOO_LARGE },
  { "huge frame", send_huge_frame, "z", KEY, MQ_ERR_TOO_LARGE },
  { "empty frame", send_empty_frame, "z", KEY, MQ_ERR_TOO_LARGE },
  { "http", send_http, "z", KEY, MQ_ERR_TOO_LARGE },
  { "nothing", send_nothing, "z", KEY, MQ_ERR_TIMEOUT },
  { "half a frame", send_half_a_frame, "z", KEY, MQ_ERR_TIMEOUT },
};

static bool
has_refused (const void *node, const void *unused)
{
  const struct kit_node *of = node;

  (void)unused;
  return mq_peer_net_counters (of->net)->handshakes_refused > 0;
}

static void
expect_refused (struct kit_node *node, struct kit_client *client,
                enum mq_error_type type, const char *name)
{
  kit_wait (has_refused, node, NULL);
  cr_expect_eq (mq_peer_net_refusal (node->net)->type, type, "%s: %s", name,
                mq_error_name (mq_peer_net_refusal (node->net)->type));
  while (kit_client_receive (client))
    ;
  cr_expect (client->closed, "%s", name);
  cr_expect_eq (mq_peer_net_counters (node->net)->handshakes_refused, 1, "%s",
                name);
  cr_expect_eq (node->count, 0, "%s", name);
}

static void
run_attack (const struct attack_case *each)
{
  struct kit_node *node = start_node ();
  struct kit_client *client = kit_client (node, each->host, each->key);

  each->attack (client);
  if (each->refused != MQ_ERR_NONE)
    expect_refused (node, client, each->refused, each->name);
  else
    kit_wait_up (node);
  kit_client_close (client);
  kit_destroy (node);
}

/* A client without the site key must get no callback, a typed rejection and a
   closed connection.  */
Test (handshake, only_the_site_key_authenticates)
{
  for (size_t i = 0; i < sizeof attack_cases / sizeof attack_cases[0]; i++)
    run_attack (&attack_cases[i]);
}

/* A recorded Proof must not authenticate again, since the nonce of the other
   side differs.  */
Test (handshake, a_replayed_proof_is_refused)
{
  struct kit_node *node = start_node ();
  struct kit_client *client = kit_client (node, "z", KEY);
  struct kit_client *replayer = kit_client (node, "y", WRONG_KEY);
  size_t hello_len;
  size_t proof_len;
  const uint8_t *hello = mq_handshake_hello (client->handshake, &hello_len);
  const uint8_t *proof;

  kit_client_prove (client);
  proof = mq_handshake_proof (client->handshake, &proof_len);
  kit_wait_up (node);
  kit_client_send (replayer, hello, hello_len);
  kit_client_send (replayer, proof, proof_len);
  kit_wait (has_refused, node, NULL);
  cr_expect_eq (mq_peer_net_refusal (node->net)->type, MQ_ERR_BAD_PEER);
  cr_expect_eq (kit_count (node, KIT_UP), 1);
  cr_expect_eq (kit_count (node, KIT_DOWN), 0);
  kit_client_close (client);
  kit_client_close (replayer);
}

struct hello_case
{
  const char *fault; /* NULL: valid */
  uint32_t protocol;
  const char *host;
  const char *address;
  int role;
  size_t nonce;
};

static const char long_name[]
    = "0123456789012345678901234567890123456789012345678901234567890123";

static const struct hello_case hello_cases[] = {
  { NULL, MQ_PEER_PROTOCOL, "z", "127.0.0.1:9", 1, 32 },
  { "protocol", MQ_PEER_PROTOCOL + 1, "z", "127.0.0.1:9", 1, 32 },
  { "protocol", 0, "z", "127.0.0.1:9", 1, 32 },
  { "host", MQ_PEER_PROTOCOL, "", "127.0.0.1:9", 1, 32 },
  { "host", MQ_PEER_PROTOCOL, long_name, "127.0.0.1:9", 1, 32 },
  { "address", MQ_PEER_PROTOCOL, "z", "", 1, 32 },
  { "address", MQ_PEER_PROTOCOL, "z", long_name, 1, 32 },
  { "role", MQ_PEER_PROTOCOL, "z", "127.0.0.1:9", 2, 32 },
  { "role", MQ_PEER_PROTOCOL, "z", "127.0.0.1:9", -1, 32 },
  { "nonce", MQ_PEER_PROTOCOL, "z", "127.0.0.1:9", 1, 31 },
  { "nonce", MQ_PEER_PROTOCOL, "z", "127.0.0.1:9", 1, 33 },
};

static size_t
pack_hello (const struct hello_case *each, uint8_t *to)
{
  Mq__Envelope envelope = MQ__ENVELOPE__INIT;
  Mq__Hello hello = MQ__HELLO__INIT;
  uint8_t nonce[64] = { 1 };

  hello.protocol = each->protocol;
  hello.host = (char *)each->host;
  hello.address = (char *)each->address;
  hello.role = (Mq__Role)each->role;
  hello.nonce.data = nonce;
  hello.nonce.len = each->nonce;
  envelope.body_case = MQ__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  return mq__envelope__pack (&envelope, to);
}

Test (handshake, a_malformed_hello_is_refused)
{
  static const uint8_t key[MQ_KEY_BYTES] = { KEY };
  struct mq_peer_info self
      = { .host = "m", .address = "127.0.0.1:8", .data_centre = "hann" };

  for (size_t i = 0; i < sizeof hello_cases / sizeof hello_cases[0]; i++)
    {
      const struct hello_case *each = &hello_cases[i];
      struct mq_handshake *handshake
          = mq_handshake_create (NULL, MQ_SIDE_ACCEPT, key, &self);
      struct mq_error error = { 0 };
      uint8_t data[1024];
      size_t len = pack_hello (each, data);
      bool taken
          = mq_handshake_read_hello (handshake, data, len, &error) != NULL;

      cr_expect_eq (taken, each->fault == NULL, "case %zu", i);
      if (each->fault != NULL)
        {
          cr_expect_eq (error.type, MQ_ERR_BAD_FRAME);
          cr_expect_str_eq (error.subject, each->fault);
        }
      talloc_free (handshake);
    }
}

struct later_case
{
  const char *name;
  void (*send) (struct kit_client *client);
};

static const struct later_case later_cases[] = {
  { "hello", send_hello },
  { "empty frame", send_empty_frame },
  { "huge frame", send_huge_frame },
  { "proof", send_proof_first },
};

/* An authenticated peer that violates the protocol is disconnected.  */
Test (handshake, a_bad_frame_after_the_proof_ends_the_connection)
{
  for (size_t i = 0; i < sizeof later_cases / sizeof later_cases[0]; i++)
    {
      struct kit_node *node = start_node ();
      struct kit_client *client = kit_client (node, "z", KEY);

      kit_client_prove (client);
      kit_wait_up (node);
      later_cases[i].send (client);
      kit_wait_down (node);
      cr_expect_eq (node->events[1].why, MQ_ERR_BAD_FRAME, "%s",
                    later_cases[i].name);
      cr_expect_eq (mq_peer_net_counters (node->net)->frames_bad, 1);
      kit_client_close (client);
      kit_destroy (node);
    }
}

/* Idle unauthenticated connections over the limit are closed, oldest first, so
   that a peer with the site key can always connect.  */
Test (handshake, idle_connections_do_not_shut_out_peers)
{
  struct kit_node *node = start_node ();
  struct kit_node *peer
      = kit_node (&(struct kit_options){ .host = "n", .key = KEY });
  struct kit_client *clients[IDLE_CLIENTS];

  for (size_t i = 0; i < IDLE_CLIENTS; i++)
    clients[i] = kit_client (node, "z", KEY);
  mq_peer_net_add_address (peer->net, node->address);
  while (kit_client_receive (clients[0]))
    ;
  cr_expect_eq (mq_peer_net_counters (node->net)->handshakes_refused, 0);
  kit_wait_up (peer);
  for (size_t i = 0; i < IDLE_CLIENTS; i++)
    kit_client_close (clients[i]);
}
