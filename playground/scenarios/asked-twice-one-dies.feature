Feature: A confirmation is asked for twice while one instance dies

  Scenario: The instance dies before it sent the confirmation
    When Ayse asks entry-1 to confirm booking "slot-17"
    And 70 ms pass
    And entry-1 dies
    And Mehmet asks entry-2 to confirm booking "slot-17"
    And 1 s passes
    Then Ayse has lost the connection
    And Mehmet is told error 4007
    When 12 s pass
    And Zeynep asks entry-2 to confirm booking "slot-17"
    And 2 s pass
    Then Zeynep has the whole answer
    And booking "slot-17" ran 1 time
    And all promises hold

  Scenario: The instance dies after it sent the confirmation
    When Ayse asks entry-1 to confirm booking "slot-17"
    And 150 ms pass
    And entry-1 dies
    And Mehmet asks entry-2 to confirm booking "slot-17"
    And 1 s passes
    Then Mehmet is told error 4007
    When 35 s pass
    And Zeynep asks entry-2 to confirm booking "slot-17"
    And 2 s pass
    Then Zeynep is told error 4008
    And booking "slot-17" ran 1 time
    And all promises hold
