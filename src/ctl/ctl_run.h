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
  MQ_CTL_FAILED = 1,    /* it failed, or something can't be reached */
  MQ_CTL_BAD_INPUT = 2, /* the command line or a file has an error */
  MQ_CTL_CONFLICT = 3   /* another operator changed the configuration first */
};

#define MQ_CTL_NO_BASE UINT64_MAX
/* A host that takes longer counts as one that can't be reached.  */
#define MQ_CTL_HOST_TIMEOUT_MS 3000U

/**
 * struct mq_ctl_run - one run
 * @ctx: owner of everything
 * @out: results
 * @err: errors and progress
 * @json: results as JSON
 * @platform: "http://IP:PORT", NULL when not given
 * @operator_key_file: NULL when not given
 * @base: version given with --base, or MQ_CTL_NO_BASE
 * @wait_seconds: how long apply waits for the hosts
 * @settings: check: the file is one of settings
 * @router: check: for mimosa-routerd, and not for a process with a @role
 * @role: check: for which process
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

/* Prints ERROR and gives the exit code for it.  */
enum mq_ctl_exit mq_ctl_report_error (const struct mq_ctl_run *run,
                                      const struct mq_error *error);
/* Checked text of FILE with its source; NULL after its errors were printed,
   with the exit code in CODE.  */
struct mq_text *mq_ctl_read_text (const struct mq_ctl_run *run,
                                  const char *file, char **source, size_t *len,
                                  enum mq_ctl_exit *code);

/* Commands without a site; ARGUMENT may be NULL where none is needed.  */
enum mq_ctl_exit mq_ctl_check (const struct mq_ctl_run *run, const char *file);
enum mq_ctl_exit mq_ctl_keys (const struct mq_ctl_run *run, const char *none);
enum mq_ctl_exit mq_ctl_hash_key (const struct mq_ctl_run *run,
                                  const char *none);
enum mq_ctl_exit mq_ctl_explain (const struct mq_ctl_run *run, const char *id);
/* ADDRESSES: "IP:PORT,IP:PORT,…", ready addresses of routers.  */
enum mq_ctl_exit mq_ctl_routers (const struct mq_ctl_run *run,
                                 const char *addresses);
/* The configuration.  */
enum mq_ctl_exit mq_ctl_show (const struct mq_ctl_run *run, const char *none);
enum mq_ctl_exit mq_ctl_diff (const struct mq_ctl_run *run, const char *file);
enum mq_ctl_exit mq_ctl_apply (const struct mq_ctl_run *run, const char *file);
/* The hosts.  */
enum mq_ctl_exit mq_ctl_status (const struct mq_ctl_run *run,
                                const char *none);
enum mq_ctl_exit mq_ctl_trace (const struct mq_ctl_run *run,
                               const char *program);
enum mq_ctl_exit mq_ctl_drain (const struct mq_ctl_run *run, const char *host);

/* Connects as the options say; NULL after the error was printed, with the
   exit code in CODE.  */
struct mq_ctl *mq_ctl_connect (const struct mq_ctl_run *run,
                               enum mq_ctl_exit *code);

#endif
