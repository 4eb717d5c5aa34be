/* fleet.h - simulated entry hosts with a table, in virtual time.

   Hosts run the real owner on the table of standins/.  The table answers after
   a fixed delay and counts requests; targets return a fixed number of tokens.
   It measures use of resources; the only faults are hosts that die.
   Needs: owner.h, table.h.  */

#ifndef FLEET_H
#define FLEET_H

#include "../standins/table.h"
#include "core/owner/owner.h"

enum fleet_kind
{
  FLEET_TICK,
  FLEET_REQUEST,
  FLEET_TOKEN,
  FLEET_OUTCOME,
  FLEET_STORE,
  FLEET_HOSTS,
  FLEET_LOAD,
  FLEET_CALLER_GONE,
  FLEET_OTHER,
  FLEET_KINDS
};

/* Cost of handling inputs of one kind: mq_owner_handle with its actions and
   mq_owner_next_tick.  */
struct fleet_cost
{
  uint64_t count;
  uint64_t ns;
  uint64_t allocations;
};

/**
 * struct fleet_usage - resources used since fleet_reset_usage
 * @cost: by kind of input, all hosts
 * @reads: scans and object reads
 * @writes: transactions, object writes and removals
 * @bytes_read: keys and values returned by the table
 * @bytes_written: keys and values sent to the table
 * @peak: maximum of reads and writes in one second
 * @second: current second of virtual time
 * @in_second: reads and writes in @second
 * @sent: frames sent by owners to targets and other owners, by message type
 * @sent_bytes: bytes of @sent
 */
struct fleet_usage
{
  struct fleet_cost cost[FLEET_KINDS];
  uint64_t reads;
  uint64_t writes;
  uint64_t bytes_read;
  uint64_t bytes_written;
  uint64_t peak;
  uint64_t second;
  uint64_t in_second;
  uint64_t sent[MQ_MSG_TYPE_COUNT];
  uint64_t sent_bytes[MQ_MSG_TYPE_COUNT];
};

/**
 * struct fleet_options - size and behaviour of a fleet
 * @hosts: entry hosts
 * @targets: target hosts with one model worker each
 * @store_us: round trip to the table, 0: 2 ms
 * @answer_tokens: TOKEN messages per answer
 * @silent: targets never answer calls
 * @connected: hosts are connected to each other
 * @lease_ms: lease_ms of the site, 0: 5000
 * @clock_ns: reads processor time, NULL: times are not measured
 * @allocations: allocations so far, NULL: not counted
 */
struct fleet_options
{
  uint32_t hosts;
  uint32_t targets;
  uint32_t partitions;
  uint64_t store_us;
  uint32_t answer_tokens;
  bool silent;
  bool connected;
  uint32_t lease_ms;
  uint64_t (*clock_ns) (void);
  uint64_t (*allocations) (void);
};

struct fleet;

struct fleet *fleet_create (TALLOC_CTX *ctx,
                            const struct fleet_options *options);
void fleet_run (struct fleet *fleet, uint64_t for_us);
uint64_t fleet_now_us (const struct fleet *fleet);
void fleet_reset_usage (struct fleet *fleet);
const struct fleet_usage *fleet_read_usage (const struct fleet *fleet);
struct mq_owner *fleet_owner (const struct fleet *fleet, uint32_t host);
/* Number of partitions owned by a live host.  */
uint32_t fleet_partitions_owned (const struct fleet *fleet);
/* Live host that owns the partition of program NUMBER, UINT32_MAX: none.  */
uint32_t fleet_find_owner (const struct fleet *fleet, uint64_t number);
/* Sum of the partitions_lost counters of live hosts.  */
uint64_t fleet_partitions_lost (const struct fleet *fleet);
/* Ends the process of HOST and its connections.  */
void fleet_kill (struct fleet *fleet, uint32_t host);
/* Starts a graceful shutdown of HOST.  */
void fleet_leave (struct fleet *fleet, uint32_t host);
/* Starts a process of HOST.  fleet_create has started the first
   fleet_options.hosts.  */
void fleet_start (struct fleet *fleet, uint32_t host);
/* Opens program NUMBER at HOST with an input of TOKENS tokens.  */
void fleet_open (struct fleet *fleet, uint32_t host, uint64_t number,
                 uint32_t tokens, bool stream);
/* Sends turn number TURN to program NUMBER.  */
void fleet_turn (struct fleet *fleet, uint32_t host, uint64_t number,
                 uint32_t turn);
/* Disconnects the caller of program NUMBER.  */
void fleet_caller_gone (struct fleet *fleet, uint32_t host, uint64_t number);
/* Gives HOST the host list, or a LOAD message of TARGET.  */
void fleet_send_host_list (struct fleet *fleet, uint32_t host);
void fleet_load (struct fleet *fleet, uint32_t host, uint32_t target);

#endif
