/* site_kit.h - a small site of real processes on the loopback, for one test.

   The platform, engines and tools are stand-ins; entry hosts and target
   hosts are the daemons.  Everything listens on free ports; only processes
   that were started here get signals.  A check that fails first writes what
   each process said on standard error.
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

/* Keys of the organisations and the operator.  */
#define SITE_CLERKS_KEY "key-of-clerks"
#define SITE_OTHERS_KEY "key-of-others"

/**
 * struct site_host - an entry host or a target host
 * @process: its daemon, NULL before it was started
 * @http: "IP:PORT"
 * @peer: "IP:PORT" where it listens for peers
 * @relay: process of the relay in front of @peer, NULL: none
 * @listed: the address that the platform's list gives for @peer
 * @worker: target: which engine and which worker of the tools it stands by
 * @site_key: in place of the site's, NULL: that
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
 * struct site_options - what differs from test to test
 * @workers: engines and workers of the tools, 0: 2
 * @time_scale: of the engines, NULL: "0.2"
 * @site_keys: keys of [site] in place of the usual ones, NULL: those
 * @cache_tokens: of each engine as its target is told, 0: 60000
 * @stream_buffer_kb: of the entry hosts, 0: not set
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
 * struct site - all of it
 * @platform: "IP:PORT", as are @engines and @tools
 * @engines: one for each target host
 * @tools: workers of the tools, which share their effects; one for each
 *         target host
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

/* Starts the stand-ins and puts the operators' text in force.  Its services:
   "drafting" (model); the tools "ledger" and "slow" (idempotent), "notice"
   (not); the agents "letters" (interactive) and "nightly" (batch), and "poems"
   (batch), which may spend a lot.  */
struct site *site_start (const struct site_options *options);
void site_stop (struct site *site);
/* The usual site: entry hosts entry-1 (north) and entry-2 (south), target
   hosts north-1 and south-1; returns once it is settled.  */
struct site *site_start_default (const struct site_options *options);

/* Starts a daemon and lists it.  */
struct site_host *site_add_entry (struct site *site, const char *name,
                                  const char *data_centre);
struct site_host *site_add_target (struct site *site, const char *name,
                                   const char *data_centre, uint32_t worker);
/* The same, listed by the address of a relay in front of it.  */
struct site_host *site_add_relayed_target (struct site *site, const char *name,
                                           const char *data_centre,
                                           uint32_t worker);
/* All connections that the relay holds go silent; later ones work.  */
void site_stall_relay (struct site_host *host);
struct site_host *site_host (struct site *site, const char *name);
/* A target host whose settings hold another site's key.  */
struct site_host *site_add_foreign_target (struct site *site, const char *name,
                                           const char *data_centre,
                                           uint32_t worker);
/* Starts its daemon anew, at the same addresses; it need not be listed.  */
void site_restart (struct site *site, struct site_host *host);
void site_kill (struct site_host *host);
void site_publish_host (struct site *site, const struct site_host *host,
                        bool leaving);
void site_unpublish_host (struct site *site, const struct site_host *host);
/* Waits until all hosts that run are ready, each partition has one owner
   and the owners hold equal shares.  */
void site_wait_stable (struct site *site);

/* Waits and checks.  */
_Noreturn void site_fail (struct site *site, const char *file, int line,
                          const char *what);
/* Sleeps a little; fails the test when *UNTIL is over (0: starts it).  */
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

/* Looking.  */

/* JSON of GET PATH with the operators' key, freed with the site; NULL when
   there is no answer.  */
json_t *site_get (struct site *site, const char *address, const char *path);
/* Status JSON of a host; NULL when it does not answer.  */
json_t *site_status (struct site *site, const struct site_host *host);
/* Counter "mimosa_NAME" of /metrics, 0 when there is none.  */
uint64_t site_counter (struct site *site, const struct site_host *host,
                       const char *name);
/* Whether HOST owns PARTITION and serves it.  */
bool site_owns (struct site *site, const struct site_host *host,
                uint32_t partition);
uint32_t site_owned_count (struct site *site, const struct site_host *host);
/* The worker of the tools that runs a call now, -1: none.  */
int32_t site_tool_running (struct site *site);
/* Work that came to worker N: requests of its engine, effects of its tools. */
uint64_t site_work_count (struct site *site, uint32_t worker);
/* Programs whose cache the engines hold.  */
uint64_t site_cached_program_count (struct site *site);
/* The engine that generates now, -1: none.  */
int32_t site_engine_running (struct site *site);
/* Effects on PATH of the tools; REPEATED: keys with more than one.  */
uint64_t site_effect_count (struct site *site, const char *path,
                            uint64_t *repeated);
void site_fault (struct site *site, const char *address, const char *json);

/* Programs.  */

/* An Idempotency-Key for SITE_CLERKS_KEY whose program HOST owns.  */
char *site_key_owned_by (struct site *site, const struct site_host *host,
                         const char *begin);
/* Body that opens a program of SERVICE with PLAN, a JSON array.  */
char *site_open_body (struct site *site, const char *service,
                      const char *plan);
/* Starts to open it at HOST.  */
struct site_call *site_open (struct site *site, const struct site_host *host,
                             const char *key, const char *service,
                             const char *plan);
/* Waits for the end of the call.  */
void site_wait_call (struct site *site, struct site_call *call);

/**
 * site_check_answer - the whole, right answer of a program that ended
 * @site: the site
 * @call: of the caller, which has ended
 * @host: entry host to ask for the history
 * @plan: the program's plan
 *
 * The history must hold the plan's calls in order, each with the answer of
 * its tool to its own arguments, and what the model says to just that
 * history; the caller's answer is the last of it, and the tokens are within
 * the budget.
 */
void site_check_answer (struct site *site, struct site_call *call,
                        const struct site_host *host, const char *plan);

/* The operators' text with SITE_KEYS in [site], NULL: the usual ones.  */
char *site_config_text (struct site *site, const char *site_keys);
/* mimosactl with these arguments, ended by NULL.  */
struct site_process *site_ctl_start (struct site *site,
                                     const char *const *arguments);
/* The same, waits for its end.  */
struct site_process *site_ctl (struct site *site,
                               const char *const *arguments);

#endif
