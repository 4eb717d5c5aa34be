/* peer.h - connections between the system's processes.

   TCP with frames of a 4-byte big-endian length and a protobuf envelope
   (codec.h).  Both sides prove the site key (HMAC-SHA256 over both nonces
   and roles) before any other frame.  Beats go both ways; a connection that
   hears nothing for MQ_SILENT_MS is closed and made anew.  Bytes and frames
   of control messages (LEASE, LOAD, CONFIG_*, beats, HANDOVER) are counted
   apart from callers' data.
   Needs: tevent, gnutls, codec.h, message.h.  */

#ifndef MQ_PEER_H
#define MQ_PEER_H

#include "core/host.h"
#include "core/message.h"
#include <tevent.h>

struct mq_peer_net;

/**
 * struct mq_peer_info - who is at the other end, proved by the site key
 * @host: its host name
 * @address: "IP:PORT" where it listens for peers
 * @data_centre: where it stands
 * @role: entry or target host
 * @boot: random id of its run
 */
struct mq_peer_info
{
  const char *host;
  const char *address;
  const char *data_centre;
  enum mq_host_role role;
  uint64_t boot;
};

/* Handles are never 0 and never used again in one run of a process.  */
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
  const char *listen;       /* "IP:PORT", port 0: a free one */
  struct mq_peer_info self; /* address: NULL: the one listened at */
  uint8_t site_key[MQ_KEY_BYTES];
  uint32_t heartbeat_interval_ms; /* 0: MQ_BEAT_MS */
  uint32_t silent_ms;             /* 0: MQ_SILENT_MS */
};

struct mq_peer_net *
mq_peer_net_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                    const struct mq_peer_options *options,
                    const struct mq_peer_callbacks *callbacks,
                    struct mq_error *error);
void mq_peer_net_destroy (struct mq_peer_net *net);
uint16_t mq_peer_net_port (const struct mq_peer_net *net);
/* Keeps a connection to ADDRESS, making it anew when it is lost, until
   mq_peer_net_remove_address.  Idempotent.  An incoming connection from the
   same address counts, so two hosts share one.  */
void mq_peer_net_add_address (struct mq_peer_net *net, const char *address);
void mq_peer_net_remove_address (struct mq_peer_net *net, const char *address);
/* Handle of the ready connection to ADDRESS, 0 when there is none.  */
uint32_t mq_peer_net_find (const struct mq_peer_net *net, const char *address);
/* False when PEER is gone or its unsent bytes are over the bound.  */
bool mq_peer_net_send (struct mq_peer_net *net, uint32_t peer,
                       const struct mq_message *message);
/* Version told to peers in every beat.  */
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
/* Why a handshake was last refused: BAD_PEER (wrong proof), BAD_FRAME,
   TOO_LARGE or TIMEOUT; NONE when none was.  */
const struct mq_error *mq_peer_net_refusal (const struct mq_peer_net *net);

#endif
