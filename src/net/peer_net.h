/* peer_net.h - what the parts of the peer link share; for src/net only.

   peer.c holds the net, the addresses kept and the clock; peer_conn.c the
   socket of one connection; peer_settle.c the handshake and the choice
   between connections; peer_table.c the lookups.
   Needs: peer.h, frame.h, handshake.h.  */

#ifndef MQ_PEER_NET_H
#define MQ_PEER_NET_H

#include "core/limits.h"
#include "frame.h"
#include "handshake.h"
#include "peer.h"
#include <netdb.h>

enum mq_conn_state
{
  MQ_CONN_CONNECTING, /* dialled, TCP has not answered */
  MQ_CONN_HELLO,      /* the peer's Hello is awaited */
  MQ_CONN_PROOF,      /* the peer's Proof is awaited */
  MQ_CONN_WAITING,    /* proved, behind another connection of the same run */
  MQ_CONN_READY,      /* up */
  MQ_CONN_DRAINING,   /* released: our last frames are out or under way */
  MQ_CONN_CLOSED      /* freed when no handler runs any more */
};

/**
 * struct mq_conn - one TCP connection
 * @net: net it belongs to
 * @next: next older connection of the net
 * @link: what points to this one
 * @next_closed: next closed connection that is to be freed
 * @next_to_flush: next connection with frames to flush
 * @next_by_handle: chain of the table by handle, while READY or DRAINING
 * @next_by_address: chain of the table by address, while READY
 * @fd: its socket
 * @event: readiness of @fd
 * @state: how far it is
 * @kept: address for which it was dialled; NULL: accepted, or released
 * @dialled: this side dialled
 * @serial: rises with every connection of the net
 * @handle: handle given to the user, 0 until READY
 * @handshake: its Hellos and Proofs; @info hangs below it
 * @info: who is at the other end, from the Hello on
 * @reader: received bytes
 * @writer: frames to send
 * @opened_ms: when it was dialled or accepted
 * @heard_ms: when bytes last came
 * @sent_ms: when a frame was last queued
 * @version: highest configuration version told to the user for this peer
 * @close_reason: why it is to be closed in the next turn, NONE when it is not
 * @dirty: is in the list of connections to flush
 * @reading: its frames are being delivered
 * @write_failed: nothing more can be sent; what came before is still read
 */
struct mq_conn
{
  struct mq_peer_net *net;
  struct mq_conn *next;
  struct mq_conn **link;
  struct mq_conn *next_closed;
  struct mq_conn *next_to_flush;
  struct mq_conn *next_by_handle;
  struct mq_conn *next_by_address;
  int fd;
  struct tevent_fd *event;
  enum mq_conn_state state;
  struct mq_peer_address *kept;
  bool dialled;
  uint64_t serial;
  uint32_t handle;
  struct mq_handshake *handshake;
  struct mq_peer_info info;
  struct mq_frame_reader *reader;
  struct mq_frame_writer *writer;
  uint64_t opened_ms;
  uint64_t heard_ms;
  uint64_t sent_ms;
  uint64_t version;
  enum mq_error_type close_reason;
  bool dirty;
  bool reading;
  bool write_failed;
};

/**
 * struct mq_peer_address - an address to which a connection is kept
 * @next: next address kept
 * @next_by_address: chain of the table by address
 * @address: "IP:PORT"
 * @ready: the READY connection that serves it, NULL when none
 * @dialling: connection under way, NULL when none
 * @due_ms: when to dial next
 * @pause_ms: pause after the next failure, doubled each time
 */
struct mq_peer_address
{
  struct mq_peer_address *next;
  struct mq_peer_address *next_by_address;
  const char *address;
  struct mq_conn *ready;
  struct mq_conn *dialling;
  uint64_t due_ms;
  uint32_t pause_ms;
};

enum
{
  MQ_PEER_BUCKETS = 1024 /* power of two */
};

/**
 * struct mq_peer_net - all connections of this process with its peers
 * @ev: event loop
 * @self: what our Hello says
 * @site_key: key of the site
 * @heartbeat_interval_ms: longest pause between frames sent
 * @silent_ms: longest pause between bytes heard
 * @tick_ms: period of the clock
 * @callbacks: the user's
 * @listen_fd: listening socket
 * @listen_event: its readiness
 * @clock_fd: timerfd of the clock
 * @clock_event: its readiness
 * @work: runs once in the next turn of the loop when @work_due
 * @work_due: whether it is scheduled
 * @close_due: a connection is to be closed in it
 * @select_due: a connection was closed, one that waits may take its place
 * @dial_due: an address was added
 * @now_ms: monotonic time of the last tick
 * @conns: newest first
 * @closed: connections to be freed when @depth is 0
 * @dirty: connections with frames to flush
 * @kept: addresses kept
 * @by_handle: READY and DRAINING connections
 * @by_address: READY connections by the address in their Hello
 * @peer_address_buckets: addresses kept
 * @last_serial: last serial number given out
 * @last_handle: last handle given out
 * @unauthenticated_count: accepted connections whose peer has not proved the
 * key
 * @version: told in every beat
 * @seed: of the jitter
 * @depth: handlers that run
 * @dead: destroyed by a callback, freed when @depth is 0
 * @counters: for the user
 * @refusal: why a handshake was last refused
 */
struct mq_peer_net
{
  struct tevent_context *ev;
  struct mq_peer_info self;
  uint8_t site_key[MQ_KEY_BYTES];
  uint32_t heartbeat_interval_ms;
  uint32_t silent_ms;
  uint32_t tick_ms;
  struct mq_peer_callbacks callbacks;
  int listen_fd;
  struct tevent_fd *listen_event;
  int clock_fd;
  struct tevent_fd *clock_event;
  struct tevent_immediate *work;
  bool work_due;
  bool close_due;
  bool select_due;
  bool dial_due;
  uint64_t now_ms;
  struct mq_conn *conns;
  struct mq_conn *closed;
  struct mq_conn *dirty;
  struct mq_peer_address *kept;
  struct mq_conn *by_handle[MQ_PEER_BUCKETS];
  struct mq_conn *by_address[MQ_PEER_BUCKETS];
  struct mq_peer_address *peer_address_buckets[MQ_PEER_BUCKETS];
  uint64_t last_serial;
  uint32_t last_handle;
  uint32_t unauthenticated_count;
  uint64_t version;
  uint64_t seed;
  uint32_t depth;
  bool dead;
  struct mq_peer_counters counters;
  struct mq_error refusal;
};

/* Every handler of an event runs between these two.  Between them nothing
   is freed, so a callback may close connections or destroy the net; after
   one, NET->dead and the state of the connection have to be looked at.  */
void mq_peer_begin_handler (struct mq_peer_net *net);
void mq_peer_end_handler (struct mq_peer_net *net);
/* Flushes, closes and dials in the next turn of the loop.  */
void mq_peer_schedule (struct mq_peer_net *net);

/* peer_conn.c: takes over FD, NULL (and FD closed) when memory is out.  */
struct mq_conn *mq_conn_create (struct mq_peer_net *net, int fd, bool dialled);
void mq_conn_dial (struct mq_peer_net *net, struct mq_peer_address *kept);
/* Closes CONN; for one that was up, calls down with WHY.  */
void mq_conn_close (struct mq_conn *conn, enum mq_error_type why);
/* Queues a frame, false when memory is out.  */
bool mq_conn_queue (struct mq_conn *conn, const uint8_t *data, size_t len,
                    bool control);
/* Flushed in the next turn of the loop.  */
void mq_conn_schedule_flush (struct mq_conn *conn);
void mq_conn_flush (struct mq_conn *conn);
/* Whether TYPE is control traffic, not callers' data.  */
bool mq_conn_is_control (enum mq_message_type type);
/* Numbers only, "IP:PORT"; for freeaddrinfo.  NULL when it is none.  */
struct addrinfo *mq_conn_parse_address (const char *address);
/* Closes, beats or does nothing, by the time.  */
void mq_conn_tick (struct mq_conn *conn, uint64_t now_ms);

/* peer_settle.c */
void mq_conn_start_handshake (struct mq_conn *conn);
/* A frame that comes before CONN is up.  */
void mq_conn_handshake_frame (struct mq_conn *conn, const uint8_t *data,
                              size_t len);
void mq_conn_refuse (struct mq_conn *conn, const struct mq_error *error);
/* Connections that wait take the place of those that were closed.  */
void mq_conn_select_waiting (struct mq_peer_net *net);

/* peer_table.c */
void mq_table_add (struct mq_conn *conn);
void mq_table_remove (struct mq_conn *conn);
/* No longer found by address, still by handle.  */
void mq_table_remove_by_address (struct mq_conn *conn);
struct mq_conn *mq_table_find_handle (const struct mq_peer_net *net,
                                      uint32_t handle);
struct mq_conn *mq_table_find_address (const struct mq_peer_net *net,
                                       const char *address);
struct mq_peer_address *
mq_table_find_peer_address (const struct mq_peer_net *net,
                            const char *address);
void mq_table_add_peer_address (struct mq_peer_net *net,
                                struct mq_peer_address *kept);
void mq_table_remove_peer_address (struct mq_peer_net *net,
                                   struct mq_peer_address *kept);

#endif
