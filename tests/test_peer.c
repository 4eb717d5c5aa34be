/* test_peer.c - connections between processes and their failures.

   Needs: peer_kit.h, message_samples.h, Criterion.  */

#include "core/limits.h"
#include "net/codec.h"
#include "message_samples.h"
#include "peer_kit.h"
#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BURST = 50,
  ROUNDS = 10,
  LONG_MS = 60000,
  PAUSE_US = 3 * KIT_PEER_TIMEOUT_MS * 1000
};

/* cppcheck-suppress unknownMacro */
TestSuite (peer, .init = kit_start, .fini = kit_stop, .timeout = 120);

static struct kit_node *
start_node (const char *host, uint64_t boot)
{
  return kit_node (&(struct kit_options){ .host = host, .boot = boot });
}

static const struct kit_event *
find_event (const struct kit_node *node, enum kit_event_type type,
            size_t number)
{
  size_t i = 0;

  while (i < node->count && (node->events[i].type != type || number-- > 0))
    i++;
  cr_assert_lt (i, node->count, "no such callback");
  return &node->events[i];
}

/* Expects tokens 0 to BURST - 1 in order, each once.  */
static void
expect_burst (const struct kit_node *node)
{
  uint32_t next = 0;

  for (size_t i = 0; i < node->count; i++)
    if (node->events[i].type == KIT_MESSAGE
        && node->events[i].message->type == MQ_MSG_TOKEN)
      cr_expect_eq (node->events[i].message->u.token.index, next++);
  cr_expect_eq (next, BURST);
}

Test (peer, every_type_of_message_arrives)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  kit_wait_up (b);
  cr_expect_eq (mq_peer_net_find (a->net, b->address), a->peer);
  cr_expect_eq (mq_peer_net_find (b->net, a->address), b->peer);
  for (int type = MQ_MSG_NONE + 1; type < MQ_MSG_TYPE_COUNT; type++)
    {
      struct mq_message *sent = sample_message (a, (enum mq_message_type)type);
      size_t seen = kit_count (b, KIT_MESSAGE);

      cr_assert (mq_peer_net_send (a->net, a->peer, sent));
      cr_expect_eq (kit_count (b, KIT_MESSAGE), seen);
      kit_wait_count (b, KIT_MESSAGE, type + 1U);
      cr_expect (sample_equal (sent, b->events[b->count - 1].message), "%s",
                 mq_message_name (sent->type));
    }
  /* One additional message: the configuration version in the first frame.  */
  cr_expect_eq (b->events[1].message->type, MQ_MSG_CONFIG_HAVE);
}

struct dial_case
{
  const char *first;
  const char *second;
};

static const struct dial_case dial_cases[] = {
  { "a", "b" },
  { "b", "a" },
  { "same", "same" }, /* distinguished by their boot ids */
};

/* Two hosts dial each other at the same time.  If both connections were used,
   each side could send on the one that the other closes and lose frames.  */
static void
run_both_dial (const struct dial_case *each, uint64_t round)
{
  struct kit_node *a = start_node (each->first, 2 * round + 1);
  struct kit_node *b = start_node (each->second, 2 * round + 2);

  a->burst = BURST;
  b->burst = BURST;
  mq_peer_net_add_address (a->net, b->address);
  mq_peer_net_add_address (b->net, a->address);
  kit_wait_count (a, KIT_MESSAGE, BURST);
  kit_wait_count (b, KIT_MESSAGE, BURST);
  kit_run_frames (a, 5);
  kit_run_frames (b, 5);
  cr_expect_eq (mq_peer_net_counters (a->net)->connections_made, 1);
  cr_expect_eq (mq_peer_net_counters (b->net)->connections_made, 1);
  cr_expect_eq (kit_count (a, KIT_DOWN) + kit_count (b, KIT_DOWN), 0);
  expect_burst (a);
  expect_burst (b);
  kit_destroy (a);
  kit_destroy (b);
}

Test (peer, both_dial_at_once_and_share_one_connection)
{
  for (size_t i = 0; i < sizeof dial_cases / sizeof dial_cases[0]; i++)
    for (uint64_t round = 0; round < ROUNDS; round++)
      run_both_dial (&dial_cases[i], round);
}

/* The Proof of host a on the selected connection is delayed while b's
   connection is authenticated and waits at a.  Either the Proof arrives (b's
   connection is closed without a callback), or a's connection breaks (b's
   replaces it).  */
static void
run_late_proof (bool cut)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);
  struct kit_relay *relay = kit_relay (mq_peer_net_port (b->net));

  kit_relay_hold (relay);
  mq_peer_net_add_address (a->net, kit_relay_address (relay));
  kit_wait_up (a);
  mq_peer_net_add_address (b->net, a->address);
  /* b's Hello and Proof on its own connection, after those on a's.  */
  kit_run_frames (a, 2);
  cr_expect_eq (b->up, 0);
  a->burst = cut ? BURST : 0;
  b->burst = BURST;
  if (cut)
    kit_relay_cut (relay);
  else
    kit_relay_resume (relay);
  kit_wait_up (b);
  cr_expect (kit_is_single (b));
  kit_wait_count (a, KIT_MESSAGE, BURST);
  kit_wait_single (a);
  expect_burst (a);
  cr_expect_eq (mq_peer_net_counters (a->net)->handshakes_refused, 0);
  cr_expect_eq (mq_peer_net_counters (b->net)->handshakes_refused, 0);
  cr_expect_eq (kit_count (a, KIT_UP), cut ? 2 : 1);
  cr_expect_eq (kit_count (a, KIT_DOWN), cut ? 1 : 0);
  cr_expect_eq (kit_count (b, KIT_UP), 1);
  cr_expect_eq (kit_count (b, KIT_DOWN), 0);
}

Test (peer, a_late_proof_selects_its_connection) { run_late_proof (false); }

Test (peer, a_waiting_connection_replaces_a_lost_one)
{
  run_late_proof (true);
}

/* Two configured addresses of one host must share one connection.  */
Test (peer, two_addresses_of_a_host_share_one_connection)
{
  for (size_t i = 0; i < 2; i++)
    {
      struct kit_node *a = start_node (dial_cases[i].first, 1);
      struct kit_node *b = start_node (dial_cases[i].second, 2);
      struct kit_relay *relay = kit_relay (mq_peer_net_port (b->net));

      mq_peer_net_add_address (a->net, b->address);
      kit_wait_up (a);
      mq_peer_net_add_address (a->net, kit_relay_address (relay));
      kit_wait_found (a, kit_relay_address (relay));
      kit_wait_single (a);
      mq_peer_net_remove_address (a->net, b->address);
      kit_run_frames (a, 5);
      cr_expect_eq (mq_peer_net_find (a->net, kit_relay_address (relay)),
                    a->peer);
      cr_expect_eq (a->count, 1);
      kit_destroy (a);
      kit_destroy (b);
    }
}

struct silence_case
{
  const char *dialler;
  const char *listener;
  bool to_listener;
  bool to_dialler;
};

static const struct silence_case silence_cases[] = {
  { "a", "b", true, true },  { "b", "a", true, true },
  { "a", "b", true, false }, { "b", "a", true, false },
  { "a", "b", false, true }, { "b", "a", false, true },
};

/* A connection stays open but no longer carries data, while a new one would
   work.  The missing heartbeats must close it, since TCP reports nothing.  */
static void
run_unresponsive_connection (const struct silence_case *each)
{
  struct kit_node *a = start_node (each->dialler, 1);
  struct kit_node *b = start_node (each->listener, 2);
  struct kit_relay *relay = kit_relay (mq_peer_net_port (b->net));

  mq_peer_net_add_address (a->net, kit_relay_address (relay));
  kit_wait_up (a);
  kit_wait_up (b);
  kit_relay_blackhole (relay, each->to_listener, each->to_dialler);
  kit_wait_count (a, KIT_UP, 2);
  kit_wait_count (b, KIT_UP, 2);
  cr_expect_eq (find_event (a, KIT_DOWN, 0)->why, MQ_ERR_PEER_LOST);
  cr_expect_eq (find_event (b, KIT_DOWN, 0)->why, MQ_ERR_PEER_LOST);
  cr_expect_geq (mq_peer_net_counters (a->net)->connections_silent
                     + mq_peer_net_counters (b->net)->connections_silent,
                 1);
  cr_expect_neq (find_event (a, KIT_UP, 0)->peer,
                 find_event (a, KIT_UP, 1)->peer);
  cr_assert (kit_send_token (a, 7));
  kit_wait_count (b, KIT_MESSAGE, 1);
  kit_destroy (a);
  kit_destroy (b);
}

Test (peer, an_unresponsive_connection_is_replaced)
{
  for (size_t i = 0; i < sizeof silence_cases / sizeof silence_cases[0]; i++)
    run_unresponsive_connection (&silence_cases[i]);
}

/* A host restarts and its old connection still looks open.  The new run is
   used at once, and the old peer is reported down before the new one is
   up.  */
static void
run_restart_unseen (const struct dial_case *each)
{
  struct kit_node *a = kit_node (&(struct kit_options){
      .host = each->first, .boot = 1, .peer_timeout_ms = LONG_MS });
  struct kit_node *old = start_node ("unused", 9);
  struct kit_relay *relay = kit_relay (mq_peer_net_port (old->net));
  struct kit_options options = { .host = each->second,
                                 .address = kit_relay_address (relay),
                                 .peer_timeout_ms = LONG_MS };
  struct kit_node *b[2];

  for (uint64_t i = 0; i < 2; i++)
    {
      options.boot = 10 + i;
      b[i] = kit_node (&options);
    }
  kit_relay_target (relay, mq_peer_net_port (b[0]->net));
  mq_peer_net_add_address (a->net, options.address);
  kit_wait_up (a);
  kit_wait_up (b[0]);
  kit_relay_blackhole (relay, true, true);
  kit_destroy (b[0]);
  kit_relay_target (relay, mq_peer_net_port (b[1]->net));
  mq_peer_net_add_address (b[1]->net, a->address);
  kit_wait_count (a, KIT_UP, 2);
  cr_assert_eq (a->count, 3);
  cr_expect_eq (a->events[0].boot, 10);
  cr_expect_eq (a->events[1].type, KIT_DOWN);
  cr_expect_eq (a->events[1].peer, a->events[0].peer);
  cr_expect_eq (a->events[2].boot, 11);
  cr_expect_eq (mq_peer_net_find (a->net, options.address), a->events[2].peer);
  cr_assert (kit_send_token (a, 1));
  kit_wait_count (b[1], KIT_MESSAGE, 1);
  kit_destroy (a);
  kit_destroy (b[1]);
}

Test (peer, a_restart_replaces_the_old_connection)
{
  for (size_t i = 0; i < 2; i++)
    run_restart_unseen (&dial_cases[i]);
}

/* A host restarts during its handshake.  The Proof of the earlier run, which
   arrives after the new run is ready, must not replace it.  */
Test (peer, a_late_proof_of_an_older_run_is_ignored)
{
  struct kit_node *node = start_node ("m", 1);
  struct kit_client *old = kit_client (node, "z", 0);
  struct kit_client *new = kit_client (node, "z", 0);
  size_t len;
  const uint8_t *data = mq_handshake_hello (old->handshake, &len);

  kit_client_send (old, data, len);
  cr_assert (kit_client_receive (old));
  mq_handshake_read_hello (old->handshake, old->frame, old->frame_len, NULL);
  kit_client_prove (new);
  kit_wait_up (node);
  data = mq_handshake_proof (old->handshake, &len);
  kit_client_send (old, data, len);
  cr_expect_not (kit_client_receive (old));
  cr_expect_eq (node->count, 1);
  kit_client_close (old);
  kit_client_close (new);
}

Test (peer, a_lost_peer_is_dialled_until_it_returns)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);
  struct kit_options again = { .host = "b", .listen = b->address, .boot = 3 };
  struct kit_node *back;

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  kit_destroy (b);
  kit_wait_down (a);
  cr_expect_eq (mq_peer_net_find (a->net, b->address), 0);
  cr_expect_not (kit_send_token (a, 1));
  back = kit_node (&again);
  kit_wait_up (a);
  kit_wait_up (back);
  cr_expect_eq (find_event (a, KIT_UP, 1)->boot, 3);
}

/* Frames sent just before mq_peer_net_remove_address arrive, the connection
   closes on both sides and is not dialled again.  */
Test (peer, removing_an_address_loses_no_frame)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);

  mq_peer_net_add_address (a->net, b->address);
  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  for (uint32_t i = 0; i < BURST; i++)
    cr_assert (kit_send_token (a, i));
  mq_peer_net_remove_address (a->net, b->address);
  cr_expect_eq (a->up, 1);
  cr_expect_eq (mq_peer_net_find (a->net, b->address), 0);
  cr_expect_not (kit_send_token (a, BURST));
  kit_wait_down (a);
  kit_wait_count (b, KIT_DOWN, 1);
  expect_burst (b);
  cr_expect_eq (find_event (a, KIT_DOWN, 0)->why, MQ_ERR_NONE);
  cr_expect_eq (mq_peer_net_counters (a->net)->connections_lost, 0);
}

/* Destroying the network sends the frames that are still queued.  */
Test (peer, destroy_sends_queued_frames)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  for (uint32_t i = 0; i < BURST; i++)
    cr_assert (kit_send_token (a, i));
  kit_destroy (a);
  kit_wait_count (b, KIT_DOWN, 1);
  expect_burst (b);
}

Test (peer, versions_are_reported_once_and_only_increase)
{
  static const uint64_t versions[] = { 5, 6, 4, 9 };
  static const uint64_t reported[] = { 5, 6, 9 };
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  kit_wait_up (b);
  for (size_t i = 0; i < sizeof versions / sizeof versions[0]; i++)
    {
      mq_peer_net_set_version (a->net, versions[i]);
      kit_run_frames (b, 5);
    }
  cr_assert_eq (kit_count (b, KIT_MESSAGE), 3);
  for (size_t i = 0; i < sizeof reported / sizeof reported[0]; i++)
    {
      const struct mq_message *message
          = find_event (b, KIT_MESSAGE, i)->message;

      cr_expect_eq (message->type, MQ_MSG_CONFIG_HAVE);
      cr_expect_eq (message->u.config.version, reported[i]);
    }
  cr_expect_eq (kit_count (a, KIT_MESSAGE), 0);
}

Test (peer, control_traffic_is_counted_separately)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);
  struct mq_message *load = sample_message (a, MQ_MSG_LOAD);
  const struct mq_peer_counters *out = mq_peer_net_counters (a->net);
  const struct mq_peer_counters *in = mq_peer_net_counters (b->net);

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  kit_wait_up (b);
  for (uint32_t i = 0; i < 3; i++)
    cr_assert (kit_send_token (a, i));
  cr_assert (mq_peer_net_send (a->net, a->peer, load));
  kit_wait_count (b, KIT_MESSAGE, 5);
  cr_expect_eq (out->frames_out - out->control_frames_out, 3);
  cr_expect_eq (in->frames_in - in->control_frames_in, 3);
  cr_expect_geq (out->control_frames_out, 3); /* Hello, Proof, LOAD */
  cr_expect_eq (out->bytes_out - out->control_bytes_out,
                in->bytes_in - in->control_bytes_in);
  cr_expect_gt (out->bytes_out - out->control_bytes_out, 12);
}

/* A peer that reads nothing is disconnected at the limit of unsent bytes, with
   no callback from within the send.  */
Test (peer, a_slow_reader_is_disconnected)
{
  struct kit_node *node = kit_node (&(struct kit_options){
      .host = "m", .boot = 1, .peer_timeout_ms = LONG_MS });
  struct kit_client *client = kit_client (node, "z", 0);
  struct mq_message token = { .type = MQ_MSG_TOKEN };
  char *text = talloc_zero_size (node, 1 << 20);
  size_t sent = 0;

  memset (text, 'x', (1 << 20) - 1);
  token.u.token.text = text;
  kit_client_prove (client);
  kit_wait_up (node);
  while (mq_peer_net_send (node->net, node->peer, &token))
    sent++;
  cr_expect_eq (sent, MQ_PEER_UNSENT_BYTES / (1 << 20) - 1);
  cr_expect_eq (node->up, 1);
  cr_expect_not (kit_send_token (node, 1));
  kit_wait_down (node);
  cr_expect_eq (find_event (node, KIT_DOWN, 0)->why, MQ_ERR_SLOW_READER);
  kit_client_close (client);
}

Test (peer, unsendable_messages_are_rejected)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);
  struct mq_message token = { .type = MQ_MSG_TOKEN };
  char *text = talloc_zero_size (a, MQ_FRAME_MAX_BYTES + 1);

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  memset (text, 'x', MQ_FRAME_MAX_BYTES);
  token.u.token.text = text;
  cr_expect_not (mq_peer_net_send (a->net, a->peer, &token));
  cr_expect_not (mq_peer_net_send (a->net, a->peer + 1, &token));
  cr_expect_not (mq_peer_net_send (a->net, 0, &token));
  text[MQ_FRAME_MAX_BYTES - 100] = '\0';
  cr_expect (mq_peer_net_send (a->net, a->peer, &token));
  kit_wait_count (b, KIT_MESSAGE, 1);
  cr_expect_str_eq (find_event (b, KIT_MESSAGE, 0)->message->u.token.text,
                    text);
  cr_expect_eq (kit_count (a, KIT_DOWN), 0);
}

/* A peer sends responses and exits; the next frame sent to it fails.  The
   responses must still be delivered, or completed calls would count as
   unknown.  The write failure is provoked by shutting down the sending
   direction.  */
Test (peer, frames_before_a_failed_write_are_delivered)
{
  struct kit_node *node = start_node ("m", 1);
  struct kit_client *client = kit_client (node, "z", 0);

  kit_client_prove (client);
  kit_wait_up (node);
  cr_assert (kit_client_receive (client));
  for (uint32_t i = 0; i < BURST; i++)
    {
      struct mq_message token = { .type = MQ_MSG_TOKEN };
      size_t len;
      uint8_t *data;

      token.u.token.index = i;
      data = mq_codec_pack (client, &token, &len);
      kit_client_send (client, data, len);
    }
  kit_shut_writing (node);
  cr_assert (kit_send_token (node, 1));
  kit_wait_count (node, KIT_MESSAGE, BURST);
  expect_burst (node);
  cr_expect_eq (kit_count (node, KIT_DOWN), 0);
  cr_expect_not (kit_send_token (node, 2));
  kit_client_close (client);
  kit_wait_down (node);
}

struct destroy_case
{
  enum kit_event_type in;
  bool free_ctx;
};

static const struct destroy_case destroy_cases[]
    = { { KIT_UP, false },     { KIT_UP, true },    { KIT_MESSAGE, false },
        { KIT_MESSAGE, true }, { KIT_DOWN, false }, { KIT_DOWN, true } };

/* Destroys the network from inside a callback, directly or by freeing its
   context.  */
static void
run_destroy (const struct destroy_case *each)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);

  a->destroy[each->in] = true;
  a->free_ctx = each->free_ctx;
  b->burst = BURST;
  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (b);
  if (each->in == KIT_DOWN)
    {
      kit_destroy (b);
      kit_wait_count (a, KIT_DOWN, 1);
    }
  else
    {
      kit_wait_down (b);
      kit_destroy (b);
    }
  cr_expect_null (a->net);
  cr_expect_eq (a->events[a->count - 1].type, each->in);
}

Test (peer, network_can_be_destroyed_in_a_callback)
{
  for (size_t i = 0; i < sizeof destroy_cases / sizeof destroy_cases[0]; i++)
    run_destroy (&destroy_cases[i]);
}

/* This process is stopped for longer than the peer timeout.  Its peers must
   not be timed out, since their frames are there to be read.  */
Test (peer, a_process_pause_does_not_time_out_peers)
{
  struct kit_node *a = start_node ("a", 1);
  struct kit_node *b = start_node ("b", 2);

  mq_peer_net_add_address (a->net, b->address);
  kit_wait_up (a);
  kit_wait_up (b);
  for (int i = 0; i < 3; i++)
    {
      usleep (PAUSE_US);
      kit_run_frames (a, 3);
      kit_run_frames (b, 3);
    }
  cr_expect_eq (kit_count (a, KIT_DOWN) + kit_count (b, KIT_DOWN), 0);
}
