/* soak.h - the world of the soak: hosts as processes, stand-ins, what callers
   and workers saw.

   Needs: proxy.h, rows_server.h, worker_server.h, http_lane.h.  */

#ifndef SOAK_H
#define SOAK_H

#include "../../platform/standins/rows_server.h"
#include "../../platform/standins/worker_server.h"
#include "core/id.h"
#include "net/buffer.h"
#include "net/http_lane.h"
#include "net/timer.h"
#include "proxy.h"
#include <sys/types.h>

#define HOSTS_MAX 256
#define WORKERS 4
#define RECORDS_MAX 200000
#define PROGRAMS_MAX 32
/* Tokens of a turn at its most: four events of two tokens.  */
#define MOST 8U

/* A process that has just been started has not yet said what it does with
   signals: until then the system ends it, whatever the program is.  */
#define SIGNAL_GRACE_MS 300U

/* A router's process.  */
struct host
{
  pid_t pid; /* 0: not running */
  bool paused;
  bool restarts;
  uint64_t started_ms;
  char name[32];
  char *settings;
  uint16_t http;
  uint16_t ready;
  uint16_t peer;
  struct proxy *table;
};

enum kind
{
  KIND_CALL, /* may be repeated */
  KIND_NON_IDEMPOTENT,
  KIND_TURN,    /* a stream that may be resumed */
  KIND_RETAINED /* a stream that may run once and is retained */
};

/* What is known of one attempt of a caller.  */
struct record
{
  uint32_t program;
  uint8_t kind;
  uint8_t runs;
  bool refused;
};

/**
 * struct program - one agent program as its caller drives it
 * @history: what was said so far, for a retained one
 * @input: of the turn under way
 * @previous: id of the last turn that was answered whole
 * @handed: tokens that the caller got
 * @turns: turns that are left
 * @tries: of the step under way
 */
struct program
{
  struct soak *soak;
  uint32_t index;
  char id[32];
  bool active;
  bool kept;
  bool loops;
  uint64_t limit;
  uint64_t handed;
  int turns;
  int tries;
  uint32_t attempt;
  enum kind kind;
  char input[32];
  char previous[32];
  struct mq_buffer history;
  struct mq_http_lane *lane;
  struct mq_timer *timer;
  struct mq_timer *patience;
  int host;
  int status;
  uint32_t retry_ms;
  bool reused;
  struct mq_buffer body;
};

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
  int failures;
  uint32_t finished;
  uint32_t failed;
  uint32_t spent;
  uint32_t answers;
  uint32_t refusals;
  uint32_t broken;
  uint32_t injected;
};

/* Something that must not happen has been seen.  */
void soak_fail (struct soak *soak, const char *what, const char *subject);
uint32_t soak_random_below (struct soak *soak, uint32_t bound);

/* soak_world.c */
void soak_create_site (struct soak *soak);
void soak_start_host (struct soak *soak, int index);
/* Notices hosts that have ended and starts them again.  */
void soak_watch_hosts (struct soak *soak);
void soak_kill_hosts (struct soak *soak);
void soak_write_config (struct soak *soak);
void soak_register_worker (struct soak *soak, bool llm, int index,
                           const char *state);
/* One fault, drawn by the seed; most of them end by themselves.  */
void soak_inject (struct soak *soak);
/* Ends all faults and starts all hosts.  */
void soak_end_faults (struct soak *soak);

/* soak_caller.c */
void soak_start_program (struct soak *soak, int index);
/* A worker runs a request.  */
void soak_on_worker_request (const char *id, const char *target,
                             const char *body, void *user);

#endif
