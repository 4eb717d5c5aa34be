/* fleet.h - owners on the stand-in's table in virtual time.

   Hosts run the real owner.  The table answers after a fixed delay and
   counts what it is asked; targets' processes are replaced by an answer of
   so many tokens.  Nothing is lost and nobody is slow: faults are the fault
   matrix's matter, this measures amounts.
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

/* Handling one input, its actions' memory and the next tick's time.  */
struct fleet_cost
{
  uint64_t count;
  uint64_t ns;
  uint64_t allocations;
};

/**
 * struct fleet_usage - what was used since fleet_reset_usage
 * @cost: by kind of input, of all hosts
 * @reads: scans and object reads
 * @writes: transactions, object writes and removals
 * @bytes_read: keys and values that the table gave
 * @bytes_written: keys and values that it got
 * @peak: most reads and writes together in one second
 * @sent: frames by message type, of owners to targets and other owners
 * @sent_bytes: their bytes
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
 * struct fleet_options - shape of a fleet
 * @hosts: entry hosts, all of them owners as far as they are eligible
 * @targets: target hosts with one model worker each
 * @partitions: of the site
 * @store_us: time to the table and back, 0: 2 ms
 * @answer_tokens: frames of text that an answer has
 * @silent: targets take calls and never answer
 * @connected: hosts are connected to each other
 * @lease_ms: of the site, 0: 5000
 * @clock_ns: processor time, NULL: nothing is timed
 * @allocations: allocations so far, NULL: they are not counted
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
/* Partitions that some living host owns.  */
uint32_t fleet_partitions_owned (const struct fleet *fleet);
/* Living host that owns the partition of program NUMBER, or UINT32_MAX.  */
uint32_t fleet_find_owner (const struct fleet *fleet, uint64_t number);
/* Partitions lost by hosts that lived all the time.  */
uint64_t fleet_partitions_lost (const struct fleet *fleet);
/* The process of HOST ends, its connections with it.  */
void fleet_kill (struct fleet *fleet, uint32_t host);
/* A planned stop of HOST begins.  */
void fleet_leave (struct fleet *fleet, uint32_t host);
/* The process of HOST starts; before it only the first FLEET.hosts did.  */
void fleet_start (struct fleet *fleet, uint32_t host);
/* Opens program NUMBER at HOST with a history of TOKENS.  */
void fleet_open (struct fleet *fleet, uint32_t host, uint64_t number,
                 uint32_t tokens, bool stream);
/* A further turn of it, the TURN-th.  */
void fleet_turn (struct fleet *fleet, uint32_t host, uint64_t number,
                 uint32_t turn);
/* Its caller goes away.  */
void fleet_caller_gone (struct fleet *fleet, uint32_t host, uint64_t number);
/* The list of hosts is read; a LOAD of one target comes.  */
void fleet_send_host_list (struct fleet *fleet, uint32_t host);
void fleet_load (struct fleet *fleet, uint32_t host, uint32_t target);

#endif
