/** Holds the maintenance duties and carries out what the planner decides. */
package org.chervillift.daemon.waves;
