/* ctl_run.h - one run of mimosactl: its options, output and commands.

   Needs: ctl.h, ctl_print.h, the C library's streams.  */

#ifndef MQ_CTL_RUN_H
#define MQ_CTL_RUN_H

#include "ctl.h"
#include "ctl_print.h"
#include <stdio.h>

/* Exit codes.  */
enum mq_ctl_exit
{
  MQ_CTL_OK = 0,
  MQ_CTL_FAILED = 1,    /* it failed, or a host or the table is unavailable */
  MQ_CTL_BAD_INPUT = 2, /* invalid command line or file */
  MQ_CTL_CONFLICT = 3   /* another operator changed the configuration first */
};

#define MQ_CTL_NO_BASE UINT64_MAX
#define MQ_CTL_HOST_TIMEOUT_MS 3000U

/**
 * struct mq_ctl_run - one run of the tool
 * @ctx: talloc parent of all allocations
 * @out: stream of the results
 * @err: stream of errors and progress
 * @json: print results as JSON
 * @platform: "http://IP:PORT"; NULL if not given
 * @operator_key_file: NULL if not given
 * @base: argument of --base, or MQ_CTL_NO_BASE
 * @wait_seconds: how long apply waits for the hosts
 * @settings: check: the file contains settings of a process
 * @router: check: the process is mimosa-routerd, and @role is ignored
 * @role: check: role of the process
 */
struct mq_ctl_run
{
  TALLOC_CTX *ctx;
  FILE *out;
  FILE *err;
  bool json;
  const char *platform;
  const char *operator_key_file;
  uint64_t base;
  uint32_t wait_seconds;
  bool settings;
  bool router;
  enum mq_host_role role;
};

/* Prints ERROR and returns its exit code.  */
enum mq_ctl_exit mq_ctl_report_error (const struct mq_ctl_run *run,
                                      const struct mq_error *error);
/* Reads and parses FILE.  On failure prints the errors, sets CODE and returns
   NULL.  */
struct mq_text *mq_ctl_read_text (const struct mq_ctl_run *run,
                                  const char *file, char **source, size_t *len,
                                  enum mq_ctl_exit *code);

/* Commands that need no platform; the argument NONE is unused.  */
enum mq_ctl_exit mq_ctl_check (const struct mq_ctl_run *run, const char *file);
enum mq_ctl_exit mq_ctl_keys (const struct mq_ctl_run *run, const char *none);
enum mq_ctl_exit mq_ctl_hash_key (const struct mq_ctl_run *run,
                                  const char *none);
enum mq_ctl_exit mq_ctl_explain (const struct mq_ctl_run *run, const char *id);
/* ADDRESSES: "IP:PORT,IP:PORT,…", the routers' readiness endpoints.  */
enum mq_ctl_exit mq_ctl_routers (const struct mq_ctl_run *run,
                                 const char *addresses);
/* Sums the metrics of these routers: what binds, who asks for most, which
   workers are left out.  */
enum mq_ctl_exit mq_ctl_load (const struct mq_ctl_run *run,
                              const char *addresses);
/* Commands for the configuration.  */
enum mq_ctl_exit mq_ctl_show (const struct mq_ctl_run *run, const char *none);
enum mq_ctl_exit mq_ctl_diff (const struct mq_ctl_run *run, const char *file);
enum mq_ctl_exit mq_ctl_apply (const struct mq_ctl_run *run, const char *file);
/* Commands for the hosts.  */
enum mq_ctl_exit mq_ctl_status (const struct mq_ctl_run *run,
                                const char *none);
enum mq_ctl_exit mq_ctl_trace (const struct mq_ctl_run *run,
                               const char *program);
enum mq_ctl_exit mq_ctl_drain (const struct mq_ctl_run *run, const char *host);

/* Sends a GET request for each of PATHS to each router of ADDRESSES, and
   waits. Returns the responses, those of a router together, and the number of
   routers in COUNT.  On failure prints the error, sets CODE and returns NULL.
 */
struct mq_ctl_fetch *mq_ctl_fetch_routers (const struct mq_ctl_run *run,
                                           const char *addresses,
                                           const char *const *paths,
                                           size_t path_count, size_t *count,
                                           enum mq_ctl_exit *code);
/* Connects to the platform.  On failure prints the error, sets CODE and
   returns NULL.  */
struct mq_ctl *mq_ctl_connect (const struct mq_ctl_run *run,
                               enum mq_ctl_exit *code);

#endif
