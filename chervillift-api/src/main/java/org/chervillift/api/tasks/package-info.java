/** Jobs of tasks, the workers that run them, and what the operator says of both. */
package org.chervillift.api.tasks;
