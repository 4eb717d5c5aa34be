/* peer.h - TCP connections between the processes of the system.

   Each frame has a 4-byte big-endian length and a protobuf envelope (codec.h).
   Both sides authenticate with the site key (handshake.h) before any other
   frame.  Both sides send heartbeats; a connection on which nothing was
   received for the peer timeout is closed and dialled again.  Control messages
   (see mq_conn_is_control) are counted separately from callers' data.
   Needs: tevent, gnutls, codec.h, message.h.  */

#ifndef MQ_PEER_H
#define MQ_PEER_H

#include "core/host.h"
#include "core/message.h"
#include <tevent.h>

struct mq_peer_net;

/**
 * struct mq_peer_info - identity of a process, authenticated by the site key
 * @host: host name
 * @address: "IP:PORT" at which the process listens for peers
 * @data_centre: name of its data centre
 * @role: entry or target host
 * @boot: random id of this run of the process
 */
struct mq_peer_info
{
  const char *host;
  const char *address;
  const char *data_centre;
  enum mq_host_role role;
  uint64_t boot;
};

/* Peer handles are never 0 and are not reused while the process runs.  */
struct mq_peer_callbacks
{
  void (*up) (uint32_t peer, const struct mq_peer_info *info, void *user);
  void (*down) (uint32_t peer, enum mq_error_type why, void *user);
  void (*message) (uint32_t peer, const struct mq_message *message,
                   void *user);
  void *user;
};

struct mq_peer_options
{
  const char *listen;       /* "IP:PORT"; port 0: any free port */
  struct mq_peer_info self; /* address NULL: the listening address */
  uint8_t site_key[MQ_KEY_BYTES];
  uint32_t heartbeat_interval_ms; /* 0: MQ_HEARTBEAT_MS */
  uint32_t peer_timeout_ms;       /* 0: MQ_PEER_TIMEOUT_MS */
};

struct mq_peer_net *
mq_peer_net_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                    const struct mq_peer_options *options,
                    const struct mq_peer_callbacks *callbacks,
                    struct mq_error *error);
void mq_peer_net_destroy (struct mq_peer_net *net);
uint16_t mq_peer_net_port (const struct mq_peer_net *net);
/* Connects to ADDRESS, and reconnects after a loss, until
   mq_peer_net_remove_address.  Idempotent.  A connection accepted from the
   same address is used as well, so that two hosts share one.  */
void mq_peer_net_add_address (struct mq_peer_net *net, const char *address);
void mq_peer_net_remove_address (struct mq_peer_net *net, const char *address);
/* Handle of the ready connection to ADDRESS, 0 if there is none.  */
uint32_t mq_peer_net_find (const struct mq_peer_net *net, const char *address);
/* False if PEER is not connected, the message cannot be packed or the unsent
   bytes exceed their limit.  */
bool mq_peer_net_send (struct mq_peer_net *net, uint32_t peer,
                       const struct mq_message *message);
/* Sets the configuration version that heartbeats report to peers.  */
void mq_peer_net_set_version (struct mq_peer_net *net, uint64_t version);

struct mq_peer_counters
{
  uint64_t frames_in, frames_out, bytes_in, bytes_out;
  uint64_t control_frames_in, control_frames_out;
  uint64_t control_bytes_in, control_bytes_out;
  uint64_t connections_made, connections_lost, connections_silent;
  uint64_t handshakes_refused, frames_bad;
};
const struct mq_peer_counters *
mq_peer_net_counters (const struct mq_peer_net *net);
/* Reason of the last rejected handshake: BAD_PEER (authentication failed or
   own process), BAD_FRAME, TOO_LARGE, TIMEOUT or NO_MEMORY; NONE if there was
   none.  */
const struct mq_error *mq_peer_net_refusal (const struct mq_peer_net *net);

#endif
