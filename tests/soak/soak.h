/* soak.h - state of the fault soak: router processes, stand-ins, and what
   callers and workers observed.

   Needs: proxy.h, rows_server.h, worker_server.h, http_conn.h.  */

#ifndef SOAK_H
#define SOAK_H

#include "../../platform/standins/rows_server.h"
#include "../../platform/standins/worker_server.h"
#include "core/id.h"
#include "net/buffer.h"
#include "net/http_conn.h"
#include "net/timer.h"
#include "proxy.h"
#include <sys/types.h>

#define HOSTS_MAX 256
#define WORKERS 4
#define RECORDS_MAX 200000
#define PROGRAMS_MAX 64
#define ORGS 8
#define ROUTE_TIMEOUT_MIN_MS 2000U
#define LIMIT_WINDOW_S 5U
#define LIMIT_OVER_TENTHS 1U
#define LIMIT_SLACK 10U
/* Tokens of a turn: four events of two tokens.  */
#define TURN_TOKENS_MAX 8U

/**
 * struct process - one run of a host and the signals that were sent to it
 * @terminated_ms: time of the first SIGTERM, 0 if none
 * @resumed_ms: time of the last SIGCONT, 0 if none
 */
struct process
{
  const struct host *host;
  bool killed;
  bool paused;
  uint64_t terminated_ms;
  uint64_t resumed_ms;
};

/**
 * struct host - a router process
 * @process: its run, NULL before the first one
 * @table_fault_ms: last time at which the table was not there for the host
 */
struct host
{
  pid_t pid; /* 0: not running */
  struct process *process;
  bool paused;
  bool restarts;
  char name[32];
  char *settings;
  uint16_t http;
  uint16_t ready;
  uint16_t peer;
  struct proxy *table;
  uint64_t table_fault_ms;
};

enum kind
{
  KIND_CALL, /* may be retried */
  KIND_NON_IDEMPOTENT,
  KIND_TURN,    /* a resumable stream */
  KIND_RETAINED /* a retained stream that may not be retried */
};

/* One attempt of a caller: how often it ran, first at RUN_MS, and whether it
   was refused.  */
struct record
{
  uint64_t run_ms;
  uint32_t program;
  uint8_t kind;
  uint8_t org;
  uint8_t runs;
  bool refused;
};

/* Requests per second; 0: no limit.  */
struct org_limit
{
  uint32_t rate;
  uint32_t burst;
};

/* Workers that may end under one request.  */
#define ENDS_MAX 3U
/* Text that ends a worker.  */
#define FATAL_TEXT "crash"

/**
 * struct program - one agent program and its caller
 * @plain: the program has no turns, only calls without a program's id
 * @org: index of its organisation
 * @process: process that its connection was opened to
 * @sent_ms: time of the request's last byte
 * @fatal: its requests end the workers that run them, its input never changes
 * @ends: workers that have ended under it
 * @host_faults: faults of hosts when the first of them ended; UINT32_MAX if a
 *               host was stopping meanwhile
 * @limit: token budget
 * @tokens_received: tokens received by the caller
 * @turns: remaining turns
 * @attempts: attempts of the current step
 * @attempt: request id of the current attempt
 * @input: input of the current turn
 * @previous: id of the last completed turn
 * @history: inputs and answers so far, for a retained program
 * @stream: attempt that brought the first event of the current turn
 * @events: complete events of that turn received, over all attempts
 * @version: software version that wrote them; "" if unknown
 * @takes_up: the attempt resumes the stream
 * @pipelined: another request follows it, whose response is not read
 * @counted: the attempt counts for the share of streams that begin or go on
 */
struct program
{
  struct soak *soak;
  uint32_t index;
  char id[32];
  bool active;
  bool plain;
  bool retained;
  bool loops;
  bool fatal;
  uint32_t ends;
  uint32_t host_faults;
  uint64_t limit;
  uint64_t tokens_received;
  int turns;
  int attempts;
  uint32_t attempt;
  enum kind kind;
  char input[32];
  char previous[32];
  struct mq_buffer history;
  uint32_t stream;
  int events;
  char version[16];
  bool takes_up;
  bool pipelined;
  bool counted;
  struct mq_http_conn *lane;
  struct mq_timer *timer;
  struct mq_timer *response_timer;
  int host;
  int org;
  const struct process *process;
  uint64_t sent_ms;
  int status;
  uint32_t retry_ms;
  bool reused;
  struct mq_buffer body;
};

/* Streams that were sent and those of them that brought an event.  */
struct share
{
  uint32_t sent;
  uint32_t served;
};

/**
 * struct soak - state of one run
 * @releases_only: hosts are stopped by SIGTERM alone
 * @release_first: host from which a release counts
 * @release_left: hosts that are still to be terminated, 0 if none is under way
 * @table_fault: the table has a fault
 * @host_faults: faults of hosts so far
 * @rejected: programs rejected for the workers that ended under them
 * @llm_fault_ms: last time at which a worker of turns had a fault
 * @worker_starts: starts of workers so far, for their ids
 * @begun: new streams; @taken_up: streams that callers resumed.  Without
 *         faults, and while two workers of the version serve
 * @failures: violations, @cut of them streams that were cut, @extra_ends of
 *            them workers that ended under a request beyond its limit
 * @held_ms: last delay of the soak's own event loop, seen at @held_at_ms
 */
struct soak
{
  struct tevent_context *ev;
  uint64_t random;
  uint64_t seed;
  const char *binary;
  const char *plant;
  char directory[64];
  int host_count;
  struct host hosts[HOSTS_MAX];
  struct rows_server *rows;
  struct worker_server *llm[WORKERS];
  struct worker_server *app[WORKERS];
  bool llm_ready[WORKERS];
  struct proxy *llm_proxy[WORKERS];
  struct proxy *app_proxy[WORKERS];
  struct worker_plan llm_plan;
  struct worker_plan app_plan;
  int config_version;
  struct program programs[PROGRAMS_MAX];
  int program_count;
  uint32_t program_ids;
  struct record *records;
  uint32_t record_count;
  bool faults;
  bool releases_only;
  int release_first;
  int release_left;
  bool table_fault;
  uint32_t host_faults;
  uint32_t rejected;
  uint64_t llm_fault_ms;
  uint32_t worker_starts;
  struct share begun;
  struct share taken_up;
  uint64_t tick_due_ms;
  uint64_t held_at_ms;
  uint64_t held_ms;
  uint64_t held_max_ms;
  int failures;
  int cut;
  int extra_ends;
  uint32_t finished;
  uint32_t failed;
  uint32_t budget_exhausted;
  uint32_t answers;
  uint32_t refusals;
  uint32_t aborted;
  uint32_t injected;
};

/* Reports a violation.  */
void soak_fail (struct soak *soak, const char *what, const char *subject);
uint32_t soak_random_below (struct soak *soak, uint32_t bound);

/* soak_site.c */
void soak_create_site (struct soak *soak);
void soak_start_host (struct soak *soak, int index);
/* Restarts hosts that have exited; reports a crash as a violation.  */
void soak_watch_hosts (struct soak *soak);
void soak_kill_hosts (struct soak *soak);
void soak_register_worker (struct soak *soak, bool llm, int index,
                           const char *state);
/* The entry of the worker ID, which has crashed, lapses some time later.  */
void soak_lapse_worker (struct soak *soak, const char *id);
/* Crashes worker INDEX of the turns, which starts again at a random version.
   The registry learns of it at once or later.  */
void soak_release_worker (struct soak *soak, int index);
/* Number of workers of the turns that are listed as ready at VERSION.  */
int soak_count_version (const struct soak *soak, const char *version);

/* soak_config.c */
extern const struct org_limit soak_org_limits[ORGS];
void soak_write_config (struct soak *soak);

/* soak_fault.c */
void soak_kill_host (struct host *host);
/* Terminates all hosts one after the other, less than a stop apart.  */
void soak_release_hosts (struct soak *soak);
/* Injects a random fault; most faults end by themselves.  */
void soak_inject (struct soak *soak);
/* Ends all faults.  */
void soak_end_faults (struct soak *soak);

/* soak_check.c */
/* Records the delay of the soak's event loop if it was held up.  */
void soak_note_delay (struct soak *soak);
/* Records which faults last, and requests that are not sent yet.  */
void soak_watch_faults (struct soak *soak);
/* Fails if the host owes an answer to the program's request.  */
void soak_check_unanswered (struct program *program);
void soak_check_limits (struct soak *soak);
/* Whether an attempt sent now counts for the share of streams served.  */
bool soak_counts_stream (const struct program *program);
/* Fails if fewer streams go on than half of those that begin.  */
void soak_check_streams (struct soak *soak);

/* soak_caller.c */
void soak_start_program (struct soak *soak, int index);
/* Called when a worker has ended under a request, and has started again.  */
void soak_on_worker_end (struct worker_server *worker, void *user);
void soak_on_worker_start (struct worker_server *worker, void *user);
/* Called when a worker runs a request.  */
void soak_on_worker_request (const char *id, const char *target,
                             const char *body, void *user);

#endif
