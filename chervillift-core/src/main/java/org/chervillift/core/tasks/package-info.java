/**
 * Task scheduling: decides which task runs on which worker and when, from the stored jobs and the
 * reports of the workers.
 *
 * <p>{@link org.chervillift.core.tasks.TaskScheduler} holds all state. It is not thread-safe and
 * must be used from one thread.
 */
package org.chervillift.core.tasks;
