/* peer_net.h - internal state and functions of the peer connections; for
   src/net only.

   peer.c manages the network, the listening socket and the dialled addresses;
   peer_conn.c one connection; peer_settle.c the handshake and the selection
   among duplicate connections; peer_table.c the lookup tables.
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
  MQ_CONN_CONNECTING, /* TCP connect in progress */
  MQ_CONN_HELLO,      /* waiting for the peer's Hello */
  MQ_CONN_PROOF,      /* waiting for the peer's Proof */
  MQ_CONN_WAITING,    /* authenticated; duplicate of a ready connection */
  MQ_CONN_READY,      /* handshake complete */
  MQ_CONN_DRAINING,   /* released: sending the queued frames, then until EOF */
  MQ_CONN_CLOSED      /* freed once no handler is running */
};

/**
 * struct mq_conn - one TCP connection
 * @next: next older connection of the network
 * @link: pointer to this connection in the list of the network
 * @next_closed: next closed connection that is to be freed
 * @next_to_flush: next connection with frames to flush
 * @next_by_handle: hash chain by handle, while READY or DRAINING
 * @next_by_address: hash chain by address, while READY
 * @event: readiness of @fd
 * @peer_address: address for which it was dialled; NULL if accepted or
 *                released
 * @dialled: this side opened the connection
 * @serial: sequence number in the network; newer connections have higher ones
 * @handle: handle given to the user, 0 until READY
 * @handshake: owns the strings of @info
 * @info: identity of the peer, set by its Hello
 * @opened_ms: time of the dial or accept, monotonic clock
 * @received_ms: time of the last received bytes, monotonic clock
 * @sent_ms: time at which a frame was last queued, monotonic clock
 * @version: highest configuration version of the peer reported to the user
 * @close_reason: reason to close the connection in the next iteration of the
 *                event loop, NONE if it stays open
 * @in_flush_list: linked in the flush list of the network
 * @reading: its frames are being delivered
 * @write_failed: nothing more can be sent; received frames are still delivered
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
  struct mq_peer_address *peer_address;
  bool dialled;
  uint64_t serial;
  uint32_t handle;
  struct mq_handshake *handshake;
  struct mq_peer_info info;
  struct mq_frame_reader *reader;
  struct mq_frame_writer *writer;
  uint64_t opened_ms;
  uint64_t received_ms;
  uint64_t sent_ms;
  uint64_t version;
  enum mq_error_type close_reason;
  bool in_flush_list;
  bool reading;
  bool write_failed;
};

/**
 * struct mq_peer_address - an address to which a connection is maintained
 * @next_by_address: hash chain by address
 * @address: "IP:PORT"
 * @ready: READY connection to the peer, NULL if there is none
 * @dialling: connection attempt in progress, NULL if there is none
 * @due_ms: time of the next attempt, monotonic clock; 0 if not scheduled
 * @backoff_ms: delay after the next failed attempt, doubled each time
 */
struct mq_peer_address
{
  struct mq_peer_address *next;
  struct mq_peer_address *next_by_address;
  const char *address;
  struct mq_conn *ready;
  struct mq_conn *dialling;
  uint64_t due_ms;
  uint32_t backoff_ms;
};

enum
{
  MQ_PEER_BUCKETS = 1024 /* power of two */
};

/**
 * struct mq_peer_net - all connections of this process with its peers
 * @self: identity sent in the Hello
 * @heartbeat_interval_ms: maximum time between frames sent
 * @peer_timeout_ms: time without received bytes after which a connection is
 * closed
 * @tick_ms: period of the timer
 * @clock_fd: timerfd of the periodic timer
 * @work: deferred work in the next iteration of the event loop
 * @work_due: @work is scheduled
 * @close_due: a connection has a close_reason
 * @select_due: a connection was closed; a WAITING one may replace it
 * @dial_due: an address was added
 * @now_ms: monotonic time of the last tick
 * @conns: newest first
 * @closed: connections to be freed when @depth is 0
 * @flush_list: connections with frames to flush
 * @peer_address: list of the addresses to which connections are maintained
 * @by_handle: READY and DRAINING connections
 * @by_address: READY connections by the address in their Hello
 * @peer_address_buckets: hash table of the list @peer_address
 * @unauthenticated_count: accepted connections that have not authenticated yet
 * @version: configuration version sent in heartbeats
 * @seed: state of the random numbers for the jitter
 * @depth: number of nested handlers
 * @destroyed: destroyed by a callback; freed when @depth is 0
 * @refusal: reason of the last rejected handshake
 */
struct mq_peer_net
{
  struct tevent_context *ev;
  struct mq_peer_info self;
  uint8_t site_key[MQ_KEY_BYTES];
  uint32_t heartbeat_interval_ms;
  uint32_t peer_timeout_ms;
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
  struct mq_conn *flush_list;
  struct mq_peer_address *peer_address;
  struct mq_conn *by_handle[MQ_PEER_BUCKETS];
  struct mq_conn *by_address[MQ_PEER_BUCKETS];
  struct mq_peer_address *peer_address_buckets[MQ_PEER_BUCKETS];
  uint64_t last_serial;
  uint32_t last_handle;
  uint32_t unauthenticated_count;
  uint64_t version;
  uint64_t seed;
  uint32_t depth;
  bool destroyed;
  struct mq_peer_counters counters;
  struct mq_error refusal;
};

/* Each event handler runs between these two calls.  No connection is freed
   between them, so that callbacks may close connections or destroy the
   network.  After a callback, check NET->destroyed and the state of the
   connection.  */
void mq_peer_begin_handler (struct mq_peer_net *net);
void mq_peer_end_handler (struct mq_peer_net *net);
/* Schedules the deferred work (flush, close, select, dial) for the next
   iteration of the event loop.  */
void mq_peer_schedule (struct mq_peer_net *net);

/* peer_conn.c.  Takes ownership of FD; NULL, with FD closed, if out of
   memory.  */
struct mq_conn *mq_conn_create (struct mq_peer_net *net, int fd, bool dialled);
void mq_conn_dial (struct mq_peer_net *net,
                   struct mq_peer_address *peer_address);
/* Closes CONN and, if its handshake was complete, calls down with WHY.  */
void mq_conn_close (struct mq_conn *conn, enum mq_error_type why);
/* Queues a frame; false if out of memory.  */
bool mq_conn_queue (struct mq_conn *conn, const uint8_t *data, size_t len,
                    bool control);
/* Flushes CONN in the next iteration of the event loop.  */
void mq_conn_schedule_flush (struct mq_conn *conn);
void mq_conn_flush (struct mq_conn *conn);
/* True if TYPE is control traffic, false for callers' data.  */
bool mq_conn_is_control (enum mq_message_type type);
/* Parses a numeric "IP:PORT"; NULL if invalid.  Free with freeaddrinfo.  */
struct addrinfo *mq_conn_parse_address (const char *address);
/* Checks the timeouts of CONN and sends a heartbeat if one is due.  */
void mq_conn_tick (struct mq_conn *conn, uint64_t now_ms);

/* peer_settle.c */
void mq_conn_start_handshake (struct mq_conn *conn);
/* Handles a frame received before the handshake is complete.  */
void mq_conn_handshake_frame (struct mq_conn *conn, const uint8_t *data,
                              size_t len);
void mq_conn_refuse (struct mq_conn *conn, const struct mq_error *error);
/* Selects WAITING connections in place of those that were closed.  */
void mq_conn_select_waiting (struct mq_peer_net *net);

/* peer_table.c */
void mq_table_add (struct mq_conn *conn);
void mq_table_remove (struct mq_conn *conn);
/* Removes CONN from the address table only; it is still found by its
   handle.  */
void mq_table_remove_by_address (struct mq_conn *conn);
struct mq_conn *mq_table_find_handle (const struct mq_peer_net *net,
                                      uint32_t handle);
struct mq_conn *mq_table_find_address (const struct mq_peer_net *net,
                                       const char *address);
struct mq_peer_address *
mq_table_find_peer_address (const struct mq_peer_net *net,
                            const char *address);
void mq_table_add_peer_address (struct mq_peer_net *net,
                                struct mq_peer_address *peer_address);
void mq_table_remove_peer_address (struct mq_peer_net *net,
                                   struct mq_peer_address *peer_address);

#endif
