/* site_kit.h - a complete site of real processes on the loopback interface.

   The platform, engines and tools are stand-ins; entry hosts and target hosts
   run the daemons.  All processes listen on free ports, and only processes
   started here are signalled.  A failed check prints the standard error of
   every process.
   Needs: site_process.h, site_http.h, criterion.  */

#ifndef SITE_KIT_H
#define SITE_KIT_H

#include "site_http.h"
#include "site_process.h"

enum
{
  SITE_PARTITIONS = 8,
  SITE_HOSTS_MAX = 12,
  SITE_LEASE_MS = 2000,
  SITE_MAX_TOKENS = 1024,
  SITE_BUDGET_TOKENS = 8192
};

#define SITE_CLERKS_KEY "key-of-clerks"
#define SITE_OTHERS_KEY "key-of-others"

/**
 * struct site_host - an entry host or a target host
 * @process: daemon; NULL before it is started
 * @http: "IP:PORT"
 * @peer: "IP:PORT" for peer connections
 * @relay: relay process in front of @peer; NULL if none
 * @listed: address published for @peer; NULL for @peer itself
 * @worker: target: index of its engine and tool worker
 * @site_key: overrides the key of the site; NULL for the default
 */
struct site_host
{
  const char *name;
  const char *role;
  const char *data_centre;
  struct site_process *process;
  char *http;
  char *peer;
  struct site_process *relay;
  char *listed;
  uint32_t worker;
  const char *site_key;
};

/**
 * struct site_options - settings of a test
 * @workers: number of engines and of tool workers; 0 for 2
 * @time_scale: time scale of the engines; NULL for "0.2"
 * @site_keys: settings of section [site]; NULL for the defaults
 * @cache_tokens: cache size of each engine; 0 for 60000
 * @stream_buffer_kb: setting of the entry hosts; 0 if unset
 */
struct site_options
{
  uint32_t workers;
  const char *time_scale;
  const char *site_keys;
  uint32_t cache_tokens;
  uint32_t stream_buffer_kb;
};

/**
 * struct site - a running site
 * @platform: "IP:PORT"
 * @engines: "IP:PORT" of each engine
 * @tools: "IP:PORT" of each tool worker; all share one record of calls
 */
struct site
{
  struct site_process *platform_process;
  struct site_process *engine_process;
  struct site_process *tool_process;
  char *platform;
  char **engines;
  char **tools;
  struct site_options options;
  uint32_t workers;
  struct site_host hosts[SITE_HOSTS_MAX];
  size_t host_count;
  char *operator_key_file;
};

/* Starts the stand-ins and applies the configuration.  Services: "drafting"
   (model); the tools "ledger" and "slow" (idempotent) and "notice" (not
   idempotent); the agents "letters" (interactive), "nightly" (batch) and
   "poems" (batch, large budget).  */
struct site *site_start (const struct site_options *options);
void site_stop (struct site *site);
/* Starts entry hosts entry-1 (north) and entry-2 (south) and target hosts
   north-1 and south-1, and waits until the site is stable.  */
struct site *site_start_default (const struct site_options *options);

/* Start a daemon and publish it in the host list.  */
struct site_host *site_add_entry (struct site *site, const char *name,
                                  const char *data_centre);
struct site_host *site_add_target (struct site *site, const char *name,
                                   const char *data_centre, uint32_t worker);
/* Publishes the address of a relay in front of the target.  */
struct site_host *site_add_relayed_target (struct site *site, const char *name,
                                           const char *data_centre,
                                           uint32_t worker);
/* Stops forwarding on all open connections of the relay; new connections
   work.  */
void site_stall_relay (struct site_host *host);
struct site_host *site_host (struct site *site, const char *name);
/* Starts a target host with another site's key.  */
struct site_host *site_add_foreign_target (struct site *site, const char *name,
                                           const char *data_centre,
                                           uint32_t worker);
/* Starts or restarts the daemon at the same addresses.  Does not publish
   it.  */
void site_restart (struct site *site, struct site_host *host);
void site_kill (struct site_host *host);
void site_publish_host (struct site *site, const struct site_host *host,
                        bool leaving);
void site_unpublish_host (struct site *site, const struct site_host *host);
/* Waits until all running hosts are ready, each partition has one owner and
   the partitions are balanced.  */
void site_wait_stable (struct site *site);

/* Waiting and checking.  */
_Noreturn void site_fail (struct site *site, const char *file, int line,
                          const char *what);
/* Sleeps for one poll interval; fails the test after *UNTIL, which is
   initialised if 0.  */
void site_poll_wait (struct site *site, uint64_t *until, const char *file,
                     int line, const char *what);
#define SITE_CHECK(site, condition)                                           \
  do                                                                          \
    if (!(condition))                                                         \
      site_fail (site, __FILE__, __LINE__, #condition);                       \
  while (0)
#define SITE_WAIT(site, condition)                                            \
  do                                                                          \
    {                                                                         \
      uint64_t site_until = 0;                                                \
      while (!(condition))                                                    \
        site_poll_wait (site, &site_until, __FILE__, __LINE__, #condition);   \
    }                                                                         \
  while (0)

/* Observation.  */

/* GET with the operator key.  Returns the JSON response, freed with the site;
   NULL on failure.  */
json_t *site_get (struct site *site, const char *address, const char *path);
/* Status JSON of a host; NULL on failure.  */
json_t *site_status (struct site *site, const struct site_host *host);
/* Value of "mimosa_NAME" in /metrics; 0 if absent.  */
uint64_t site_counter (struct site *site, const struct site_host *host,
                       const char *name);
/* Returns true if HOST is the active owner of PARTITION.  */
bool site_owns (struct site *site, const struct site_host *host,
                uint32_t partition);
uint32_t site_owned_count (struct site *site, const struct site_host *host);
/* Index of the tool worker that is running a call; -1 if none.  */
int32_t site_tool_running (struct site *site);
/* Requests submitted to engine WORKER plus calls executed by tool worker
   WORKER.  */
uint64_t site_work_count (struct site *site, uint32_t worker);
/* Number of programs with cache on the engines.  */
uint64_t site_cached_program_count (struct site *site);
/* Index of the engine that is generating; -1 if none.  */
int32_t site_engine_running (struct site *site);
/* Calls executed on PATH. REPEATED, unless NULL: keys executed more than
   once.  */
uint64_t site_effect_count (struct site *site, const char *path,
                            uint64_t *repeated);
void site_fault (struct site *site, const char *address, const char *json);

/* Programs.  */

/* Returns an Idempotency-Key of organisation "clerks" whose partition HOST
   owns.  */
char *site_key_owned_by (struct site *site, const struct site_host *host,
                         const char *prefix);
/* Request body that opens a program of SERVICE. PLAN is a JSON array.  */
char *site_open_body (struct site *site, const char *service,
                      const char *plan);
/* Starts a request to HOST that opens the program.  */
struct site_call *site_open (struct site *site, const struct site_host *host,
                             const char *key, const char *service,
                             const char *plan);
void site_wait_call (struct site *site, struct site_call *call);

/**
 * site_check_answer - verify the answer and history of an ended program
 * @call: request that opened the program
 * @host: entry host that serves the history
 *
 * The history must contain the calls of the plan in order, each with the
 * tool's response to its arguments, and the model's answers to exactly that
 * history.  The answer must be the last message, and the token count must be
 * within the budget.
 */
void site_check_answer (struct site *site, struct site_call *call,
                        const struct site_host *host, const char *plan);

/* Returns the configuration text with SITE_KEYS in section [site]; NULL for
   the defaults.  */
char *site_config_text (struct site *site, const char *site_keys);
/* Starts mimosactl.  ARGUMENTS ends with NULL.  */
struct site_process *site_ctl_start (struct site *site,
                                     const char *const *arguments);
/* Runs mimosactl to completion.  */
struct site_process *site_ctl (struct site *site,
                               const char *const *arguments);

#endif
