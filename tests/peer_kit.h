/* peer_kit.h - fixture for the tests of peer connections: networks with
   recorded callbacks, a TCP relay and a raw client.

   Everything runs in one event loop; waits end on events, with a long timeout.
   Needs: peer.h, handshake.h, frame.h.  */

#ifndef PEER_KIT_H
#define PEER_KIT_H

#include "net/frame.h"
#include "net/handshake.h"
#include "net/peer.h"

enum
{
  KIT_EVENTS_MAX = 4096,
  KIT_HEARTBEAT_MS = 20,
  KIT_PEER_TIMEOUT_MS = 400
};

enum kit_event_type
{
  KIT_UP,
  KIT_DOWN,
  KIT_MESSAGE
};

struct kit_event
{
  enum kit_event_type type;
  uint32_t peer;
  uint64_t boot;          /* UP only */
  enum mq_error_type why; /* DOWN only */
  const struct mq_message *message;
};

struct kit_node
{
  TALLOC_CTX *ctx; /* parent context of the network */
  struct mq_peer_net *net;
  char address[MQ_NAME_MAX];
  struct kit_event events[KIT_EVENTS_MAX];
  size_t count;
  uint32_t up;     /* peers connected now */
  uint32_t peer;   /* last connected peer */
  uint32_t burst;  /* tokens sent to each new peer */
  bool destroy[3]; /* destroy the network in this callback */
  bool free_ctx;   /* by freeing the parent context */
};

struct kit_options
{
  const char *host;
  const char *listen;  /* NULL: any free port */
  const char *address; /* sent to peers; NULL: listening address */
  uint64_t boot;
  uint32_t peer_timeout_ms; /* 0: KIT_PEER_TIMEOUT_MS */
  uint8_t key;              /* every byte of the site key */
};

extern struct tevent_context *kit_ev;

void kit_start (void);
void kit_stop (void);
struct kit_node *kit_node (const struct kit_options *options);
void kit_destroy (struct kit_node *node);
size_t kit_count (const struct kit_node *node, enum kit_event_type type);
/* Runs the event loop until CONDITION (A, B) holds; fails the test after 20 s
   of running.  */
void kit_wait (bool (*condition) (const void *a, const void *b), const void *a,
               const void *b);
/* Runs the event loop until NODE has received COUNT more frames.  */
void kit_run_frames (const struct kit_node *node, uint64_t count);
void kit_wait_up (const struct kit_node *node);
void kit_wait_down (const struct kit_node *node);
/* Waits for COUNT callbacks of TYPE on NODE.  */
void kit_wait_count (const struct kit_node *node, enum kit_event_type type,
                     size_t count);
/* Waits until NODE has a ready connection to ADDRESS.  */
void kit_wait_found (const struct kit_node *node, const char *address);
/* True if NODE has exactly one connection, in any state.  */
bool kit_is_single (const struct kit_node *node);
void kit_wait_single (const struct kit_node *node);
/* Makes writes on the newest connection of NODE fail.  */
void kit_shut_writing (const struct kit_node *node);
/* Sends a token with INDEX to the last connected peer.  */
bool kit_send_token (struct kit_node *node, uint32_t index);

/* TCP relay to PORT. kit_relay_blackhole stops forwarding in the given
   directions on existing connections and leaves them open; later ones
   work.  */
struct kit_relay;
struct kit_relay *kit_relay (uint16_t port);
const char *kit_relay_address (const struct kit_relay *relay);
void kit_relay_blackhole (struct kit_relay *relay, bool to_server,
                          bool to_client);
/* Connections accepted later forward only the first bytes from the client
   until kit_relay_resume.  */
void kit_relay_hold (struct kit_relay *relay);
void kit_relay_resume (struct kit_relay *relay);
/* Closes both sides of all connections.  */
void kit_relay_cut (struct kit_relay *relay);
/* Redirects connections accepted later to PORT.  */
void kit_relay_target (struct kit_relay *relay, uint16_t port);

/* Raw client that can send arbitrary frames; each has a new boot id.  */
struct kit_client
{
  int fd;
  struct mq_frame_reader *reader;
  struct mq_frame_writer *writer;
  struct mq_handshake *handshake;
  uint8_t frame[4096]; /* last received frame */
  size_t frame_len;
  bool closed; /* closed by the other side */
};

struct kit_client *kit_client (const struct kit_node *to, const char *host,
                               uint8_t key);
void kit_client_send (struct kit_client *client, const uint8_t *data,
                      size_t len);
void kit_client_send_bytes (struct kit_client *client, const void *data,
                            size_t len);
/* Waits for a frame; false if the other side closed.  */
bool kit_client_receive (struct kit_client *client);
/* Sends a Hello and, once the other Hello was received, a Proof.  */
void kit_client_prove (struct kit_client *client);
void kit_client_close (struct kit_client *client);

#endif
