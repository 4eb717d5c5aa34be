/* site_process.h - child processes of a test.

   A child dies with the test, even if the test crashes: the kernel kills it
   when the thread that started it ends (PR_SET_PDEATHSIG).  Input files and
   standard error are kept in memory, so no files are left behind.
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
  SITE_WAIT_LIMIT_MS = 90000, /* limit of every wait */
  SITE_ARGUMENTS_MAX = 48
};

/**
 * struct site_process - a child process
 * @name: name in reports
 * @pid: 0 once reaped
 * @status: status from waitpid, valid once reaped
 * @out: pipe for standard output
 * @err: memory file for standard error
 * @output: data read from @out so far
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
/* Returns the path of a memory file with TEXT, readable by children started
   later.  */
char *site_file (TALLOC_CTX *ctx, const char *text);
/* Starts the program $BUILD/bin/ARGUMENTS[0]. ARGUMENTS ends with NULL. The
   process is killed and reaped when CTX is freed.  */
struct site_process *site_process_start (TALLOC_CTX *ctx, const char *name,
                                         const char *const *arguments);
/* Forks a child that calls RUN (DATA, standard output), which must not
   return.  */
struct site_process *site_process_fork (TALLOC_CTX *ctx, const char *name,
                                        void (*run) (void *data, int out),
                                        void *data);
/* Reads standard output until COUNT addresses have been announced.  */
bool site_process_wait_listening (struct site_process *process, size_t count);
void site_process_signal (struct site_process *process, int number);
/* Reads the output until the process ends.  Returns false if it is still
   running after SITE_WAIT_LIMIT_MS.  */
bool site_process_wait (struct site_process *process);
/* Returns true if the process exited with status 0.  */
bool site_process_succeeded (const struct site_process *process);
int site_process_exit (const struct site_process *process);
/* Copies the standard error of the process to our own.  */
void site_process_dump (const struct site_process *process);

#endif
