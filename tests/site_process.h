/* site_process.h - programs that a test starts, and only those.

   Each dies with the test, also when the test crashes: the kernel kills it
   when the thread that started it ends (PR_SET_PDEATHSIG).  Files that they
   read and what they write to standard error are kept in memory, so that
   nothing stays behind.
   Needs: talloc.  */

#ifndef SITE_PROCESS_H
#define SITE_PROCESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>
#include <talloc.h>

enum
{
  SITE_WAIT_LIMIT_MS = 90000, /* of a wait: then something is stuck */
  SITE_ARGUMENTS_MAX = 48
};

/**
 * struct site_process - one program
 * @name: what the test calls it
 * @pid: 0 once it was reaped
 * @status: as waitpid gives it, once reaped
 * @out: pipe of its standard output
 * @err: file of its standard error
 * @output: what was read of @out
 */
struct site_process
{
  const char *name;
  pid_t pid;
  int status;
  int out;
  int err;
  char *output;
};

uint64_t site_now_ms (void);
/* Path of a file with TEXT that programs started later can read.  */
char *site_file (TALLOC_CTX *ctx, const char *text);
/* ARGUMENTS ends with NULL; its first is the name of a program of
   $BUILD/bin.  The process is killed and reaped with CTX.  */
struct site_process *site_process_start (TALLOC_CTX *ctx, const char *name,
                                         const char *const *arguments);
/* A child of the test that runs RUN (DATA) and never comes back.  */
struct site_process *site_process_fork (TALLOC_CTX *ctx, const char *name,
                                        void (*run) (void *data, int out),
                                        void *data);
/* Reads standard output until COUNT lines begin with "listening".  */
bool site_process_wait_listening (struct site_process *process, size_t count);
void site_process_signal (struct site_process *process, int number);
/* False when it still runs after SITE_WAIT_LIMIT_MS.  Reads its output.  */
bool site_process_wait (struct site_process *process);
/* Whether it ended by itself with exit status 0.  */
bool site_process_succeeded (const struct site_process *process);
int site_process_exit (const struct site_process *process);
/* Writes what it said on standard error to ours.  */
void site_process_dump (const struct site_process *process);

#endif
