/** Runs the maintenance duties and executes the actions that the planner decides on. */
package org.chervillift.daemon.waves;
